// Package chat defines the messages of the chat-completions API, which callers and model engines use.
//
// Source of the wire format: the published OpenAI-compatible chat-completions API. Fields that the project
// does not read are retained and forwarded to the endpoint unchanged.
package chat

import (
	"encoding/json"
	"math"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Headers that instances and endpoints exchange in addition to the chat-completions API. An endpoint may set HeaderLeaving
// and HeaderLimit in any response.
const (
	HeaderRequestID = "X-Request-Id"         // ID of the request, or of its run in calls to endpoints, which return it
	HeaderAttempt   = "X-Request-Attempt"    // decimal number of the attempt; endpoints return it
	HeaderPriority  = "X-Request-Priority"   // smaller is more urgent
	HeaderFence     = "X-Endpoint-Fence"     // fencing token; the endpoint refuses smaller ones
	HeaderVerdict   = "X-Ledgemount-Verdict" // not-run, may-have-run or ran
	HeaderLeaving   = "X-Endpoint-Leaving"   // 1: the endpoint accepts no new work and will exit
	HeaderLimit     = "X-Endpoint-Limit"     // requests per second that the endpoint accepts from all instances together
)

// Limits on a caller's request.
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

// ParseRequest decodes and validates the body of a caller's request. Its errors are NotRun and name the field.
func ParseRequest(body []byte) (*Request, error) {
	var req Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, badRequest(fieldOf(err), "the body is not valid: "+err.Error())
	}
	if req.Model == "" {
		return nil, badRequest("model", "a model name is needed")
	}
	if len(req.Messages) == 0 {
		return nil, badRequest("messages", "at least one message is needed")
	}
	if len(req.Messages) > maxMessages {
		return nil, badRequest("messages", "too many messages")
	}
	if req.Choices != nil && *req.Choices != 1 {
		return nil, badRequest("n", "only one choice per request is supported")
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
		return badRequest(field, "must be at least 1")
	}
	if *n > MaxTokens {
		return badRequest(field, "must be at most 131072")
	}
	return nil
}

func badRequest(field, detail string) error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, detail, verdict.WithField(field))
}

func fieldOf(err error) string {
	if te, ok := err.(*json.UnmarshalTypeError); ok { //nolint:errorlint // the decoder returns it unwrapped
		return te.Field
	}
	return ""
}

// OutputLimit returns the largest number of tokens that the request may generate.
func (r *Request) OutputLimit() int64 {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return DefaultMaxTokens
}

// InputLimit returns an upper bound of the prompt's tokens: a token covers at least one byte.
func (r *Request) InputLimit() int64 {
	var n int64
	for _, m := range r.Messages {
		n += int64(len(m.Content)) + int64(len(m.Role)) + messageOverhead
	}
	return n
}

// TotalLimit returns the largest number of tokens that the request can cost. It does not overflow.
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

// Delta is a piece of the response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one of the alternative responses; this project always has exactly one.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Message      *Delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed response. Offset is an extension: the number of tokens generated before this chunk.
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

// Completion is a complete response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Done is the data of the event that marks the end of a stream.
const Done = "[DONE]"

// Values of the fields object and finish_reason in responses.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
	FinishStop       = "stop"
)
