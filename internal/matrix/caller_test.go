package matrix

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/plain"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// kind is the kind of request that a cell's caller sends.
type kind string

const (
	kindChat    kind = "chat"
	kindPayment kind = "payment"
)

const (
	prompt    = "please summarise the tower report of the northern communes"
	maxTokens = 40
	price     = 40 // tokens that a payment costs, as declared
)

// request is a request of a caller, with its idempotency key.
type request struct {
	kind   kind
	key    string
	prompt string
}

// request returns the request of a kind that a cell's caller sends.
func (k kind) request(key string) request { return request{kind: k, key: key, prompt: prompt} }

func (r request) body() string {
	if r.kind == kindPayment {
		return fmt.Sprintf(`{"pay":%q}`, r.prompt)
	}
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, r.prompt)
}

func (r request) path() string {
	if r.kind == kindPayment {
		return "/pay/now"
	}
	return "/v1/chat/completions"
}

func (r request) generated() (p []byte, n int64) {
	req, err := chat.ParseRequest([]byte(r.body()))
	if err != nil {
		panic(err)
	}
	p = engine.Prompt(req)
	return p, engine.Length(p, req.OutputLimit())
}

func (r request) wantText() string {
	if r.kind == kindPayment {
		return r.body()
	}
	p, n := r.generated()
	return strings.Join(engine.Text(p, n), "")
}

func (r request) cost() int64 {
	if r.kind == kindPayment {
		return price
	}
	p, n := r.generated()
	return engine.PromptTokens(p) + n
}

// callResult is the outcome of one attempt of a caller.
type callResult struct {
	verdict   verdict.Verdict
	code      verdict.Code
	complete  bool
	text      string
	detail    string // of a rejection; not part of the golden file
	retryable bool
	id        string // of the request, as the instance names it; empty: no response header arrived
}

func (r callResult) String() string {
	switch {
	case r.complete:
		return "whole"
	case r.code != "":
		return r.verdict.String() + " " + string(r.code)
	}
	return r.verdict.String()
}

// send makes one attempt at an instance. With disconnect, the caller leaves after the second chunk.
func (f *testFleet) send(ctx context.Context, n *node, r request, disconnect bool) callResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.peer.Addr+r.path(), strings.NewReader(r.body()))
	if err != nil {
		f.t.Error(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(gateway.HeaderKey, r.key)
	resp, err := f.http.RoundTrip(req)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return callResult{verdict: verdict.NotRun, retryable: true}
		}
		return callResult{verdict: verdict.MayHaveRun, retryable: true}
	}
	defer func() { _ = resp.Body.Close() }()
	result := readResponse(resp, r.kind, disconnect)
	result.id = resp.Header.Get(chat.HeaderRequestID)
	return result
}

func readResponse(resp *http.Response, k kind, disconnect bool) callResult {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem") {
		var p gateway.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		return rejection(p)
	}
	if k == kindPayment {
		return readPayment(resp.Body)
	}
	return readStream(resp.Body, disconnect)
}

func rejection(p gateway.Problem) callResult {
	v := verdict.Parse(p.Verdict)
	return callResult{verdict: v, code: verdict.Code(p.Title), detail: p.Detail, retryable: p.RetryAfter > 0 || v == verdict.NotRun}
}

func readPayment(r io.Reader) callResult {
	var out plain.Response
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return callResult{verdict: verdict.MayHaveRun, retryable: true}
	}
	return callResult{verdict: verdict.Ran, complete: true, text: out.Echo}
}

func readStream(r io.Reader, disconnect bool) callResult {
	var text strings.Builder
	sc := bufio.NewScanner(r)
	for chunks := 0; sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == chat.Done {
			return callResult{verdict: verdict.Ran, complete: true, text: text.String()}
		}
		var ev struct {
			chat.Chunk
			Error *gateway.Problem `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			break
		}
		if ev.Error != nil {
			return rejection(*ev.Error)
		}
		if len(ev.Choices) > 0 && ev.Choices[0].Delta != nil {
			text.WriteString(ev.Choices[0].Delta.Content)
		}
		if chunks++; disconnect && chunks == 2 {
			return callResult{verdict: verdict.MayHaveRun, retryable: true}
		}
	}
	return callResult{verdict: verdict.MayHaveRun, retryable: true}
}
