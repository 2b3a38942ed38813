// Package chat has the messages of the chat-completions API, as callers and model engines speak it.
//
// Source of the wire format: the published OpenAI-compatible chat-completions API. Fields that the project
// does not read are kept and passed on to the endpoint unchanged.
package chat

import (
	"encoding/json"
	"math"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Headers that instances and endpoints exchange beside the chat-completions API.
const (
	HeaderRequestID = "X-Request-Id"         // names the request; endpoints send it back
	HeaderAttempt   = "X-Request-Attempt"    // decimal number of the try; endpoints send it back
	HeaderPriority  = "X-Request-Priority"   // smaller is more urgent
	HeaderFence     = "X-Endpoint-Fence"     // orders with a smaller number are refused
	HeaderVerdict   = "X-Ledgemount-Verdict" // not-run, may-have-run or ran
	HeaderLeaving   = "X-Endpoint-Leaving"   // 1: the endpoint takes no new work and will end; it may stand in any of its answers
	HeaderLimit     = "X-Endpoint-Limit"     // requests a second that the endpoint takes from all instances together; likewise
)

// Limits on what a caller may ask for.
const (
	DefaultMaxTokens = 256
	MaxTokens        = 1 << 17
	maxMessages      = 4096
	messageOverhead  = 8 // upper bound of a chat template's tokens around one message
)

// Message is one turn of the conversation.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Request is the part of a completion request that the project reads.
type Request struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	Choices             *int64    `json:"n"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ParseRequest decodes and checks a caller's body. Its errors are NotRun and name the field.
func ParseRequest(body []byte) (*Request, error) {
	var req Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, bad(fieldOf(err), "the body is not valid: "+err.Error())
	}
	if req.Model == "" {
		return nil, bad("model", "a model name is needed")
	}
	if len(req.Messages) == 0 {
		return nil, bad("messages", "at least one message is needed")
	}
	if len(req.Messages) > maxMessages {
		return nil, bad("messages", "too many messages")
	}
	if req.Choices != nil && *req.Choices != 1 {
		return nil, bad("n", "only one choice per request is supported")
	}
	if err := checkTokens("max_tokens", req.MaxTokens); err != nil {
		return nil, err
	}
	if err := checkTokens("max_completion_tokens", req.MaxCompletionTokens); err != nil {
		return nil, err
	}
	return &req, nil
}

func checkTokens(field string, n *int64) error {
	if n == nil {
		return nil
	}
	if *n < 1 {
		return bad(field, "must be at least 1")
	}
	if *n > MaxTokens {
		return bad(field, "must be at most 131072")
	}
	return nil
}

func bad(field, detail string) error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, detail, verdict.WithField(field))
}

func fieldOf(err error) string {
	if te, ok := err.(*json.UnmarshalTypeError); ok { //nolint:errorlint // the decoder returns it unwrapped
		return te.Field
	}
	return ""
}

// OutputLimit is the largest number of tokens that the request may generate.
func (r *Request) OutputLimit() int64 {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return DefaultMaxTokens
}

// InputLimit is an upper bound of the prompt's tokens: a token covers at least one byte.
func (r *Request) InputLimit() int64 {
	var n int64
	for _, m := range r.Messages {
		n += int64(len(m.Content)) + int64(len(m.Role)) + messageOverhead
	}
	return n
}

// TotalLimit is the most that the request can cost. It cannot overflow.
func (r *Request) TotalLimit() int64 {
	in, out := r.InputLimit(), r.OutputLimit()
	if in > math.MaxInt64-out {
		return math.MaxInt64
	}
	return in + out
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Delta is a piece of the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one alternative answer; this project always has one.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Message      *Delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed answer. Offset is an extension: the tokens generated before this piece.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Offset  int64    `json:"offset"`
	Tokens  int64    `json:"tokens,omitempty"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Done is the data of a stream's end marker.
const Done = "[DONE]"

// Objects named in answers.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
	FinishStop       = "stop"
)
