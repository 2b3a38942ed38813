// Package verdict classifies every error on the request path by whether the request may have run.
package verdict

import (
	"errors"
	"net/http"
	"time"
)

// Verdict states whether an endpoint ran a request, as far as this is known.
type Verdict int

// The verdicts. The zero value is the conservative one.
const (
	MayHaveRun Verdict = iota // it is not known whether an endpoint ran the request
	NotRun                    // no endpoint ran the request and nothing was billed
	Ran                       // an endpoint ran the request at least in part
)

var names = map[Verdict]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the form used in headers and logs.
func (v Verdict) String() string { return names[v] }

// Parse parses the form that String returns. For any other input it returns MayHaveRun.
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return v
		}
	}
	return MayHaveRun
}

// Code is a stable, machine-readable reason.
type Code string

// Reasons why a request ends without a complete response.
const (
	CodeBadRequest        Code = "bad-request"
	CodeUnauthenticated   Code = "unauthenticated"
	CodeForbidden         Code = "forbidden"
	CodeNotFound          Code = "not-found"
	CodeTooLarge          Code = "too-large"
	CodeBodyTimeout       Code = "body-timeout"
	CodeHeaderTooLarge    Code = "head-too-large"
	CodeKeyReused         Code = "key-reused"
	CodeBudgetExhausted   Code = "budget-exhausted"
	CodeBudgetUnknown     Code = "budget-unknown"
	CodeBudgetUnavailable Code = "budget-unavailable"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline"
	CodeTimeout           Code = "timeout"
	CodeNoEndpoint        Code = "no-endpoint"
	CodeEndpointRefused   Code = "endpoint-refused"
	CodeEndpointLimit     Code = "endpoint-limit"
	CodeEndpointFailed    Code = "endpoint-failed"
	CodeClaimUnavailable  Code = "claim-unavailable"
	CodeClaimTaken        Code = "claim-taken"
	CodeTruncated         Code = "truncated"
	CodeStopping          Code = "stopping"
	CodeCancelled         Code = "cancelled"
	CodeConflict          Code = "conflict"
	CodeUnavailable       Code = "unavailable"
	CodeQuarantined       Code = "request-quarantined"
	CodeStreamUnknown     Code = "stream-unknown"
	CodeInternal          Code = "internal"
)

var statuses = map[Code]int{
	CodeBadRequest:        http.StatusBadRequest,
	CodeUnauthenticated:   http.StatusUnauthorized,
	CodeForbidden:         http.StatusForbidden,
	CodeNotFound:          http.StatusNotFound,
	CodeTooLarge:          http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:       http.StatusRequestTimeout,
	CodeHeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	CodeKeyReused:         http.StatusUnprocessableEntity,
	CodeBudgetExhausted:   http.StatusPaymentRequired,
	CodeBudgetUnknown:     http.StatusNotFound,
	CodeBudgetUnavailable: http.StatusServiceUnavailable,
	CodeOverloaded:        http.StatusTooManyRequests,
	CodeDeadline:          http.StatusServiceUnavailable,
	CodeTimeout:           http.StatusGatewayTimeout,
	CodeNoEndpoint:        http.StatusServiceUnavailable,
	CodeEndpointRefused:   http.StatusServiceUnavailable,
	CodeEndpointLimit:     http.StatusServiceUnavailable,
	CodeEndpointFailed:    http.StatusBadGateway,
	CodeClaimUnavailable:  http.StatusServiceUnavailable,
	CodeClaimTaken:        http.StatusConflict,
	CodeTruncated:         http.StatusBadGateway,
	CodeStopping:          http.StatusServiceUnavailable,
	CodeCancelled:         statusClientClosed,
	CodeConflict:          http.StatusConflict,
	CodeUnavailable:       http.StatusServiceUnavailable,
	CodeQuarantined:       http.StatusServiceUnavailable, // not permanent: a quarantine rests on an inference, and expires
	CodeStreamUnknown:     http.StatusServiceUnavailable,
	CodeInternal:          http.StatusInternalServerError,
}

// statusClientClosed is the customary status for a caller that closed the connection.
const statusClientClosed = 499

// Status returns the HTTP status for the code.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error is a failure on the request path together with its verdict.
type Error struct {
	verdict    Verdict
	code       Code
	detail     string
	field      string
	retryAfter time.Duration
	cause      error
}

// Option adds a detail to an Error.
type Option func(*Error)

// WithField sets the path of the input field at fault.
func WithField(path string) Option { return func(e *Error) { e.field = path } }

// WithRetryAfter sets the delay after which a retry makes sense.
func WithRetryAfter(d time.Duration) Option { return func(e *Error) { e.retryAfter = d } }

// WithCause attaches the error that led to this one.
func WithCause(err error) Option { return func(e *Error) { e.cause = err } }

// New creates an error with a verdict, a reason and a human-readable detail.
func New(v Verdict, c Code, detail string, opts ...Option) *Error {
	e := &Error{verdict: v, code: c, detail: detail}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.code) + " (" + e.verdict.String() + "): " + e.detail
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Verdict reports whether the request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Code returns the reason.
func (e *Error) Code() Code { return e.code }

// Detail returns a human-readable sentence.
func (e *Error) Detail() string { return e.detail }

// Field returns the path of the input field at fault, or an empty string.
func (e *Error) Field() string { return e.field }

// RetryAfter returns the delay after which a retry makes sense; zero means that none does.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// From returns the verdict error in err. An error that contains none is treated as MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeInternal, "unexpected failure", WithCause(err))
}

// Of returns the verdict of err; nil means Ran.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	return From(err).Verdict()
}
