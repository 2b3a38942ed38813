package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// maxBuffered is the size in bytes up to which a response is read completely before it is forwarded.
const maxBuffered = 256 << 10

// relayBuffered forwards a response that is not a stream, after it has read up to maxBuffered bytes of it, or fewer if the
// memory of open requests is in use. A server error is not forwarded while the request may still be retried.
func (j *job) relayBuffered(ctx context.Context, res *upstream.Response, wd *watchdog) (result, *failedResponse) {
	res.Body = watchedBody{ReadCloser: res.Body, watchdog: wd}
	body, complete, err := memory.Read(res.Body, res.Length, maxBuffered, j.req.Memory)
	if err != nil && !errors.Is(err, memory.ErrExceeded) {
		return j.interrupted(err), nil
	}
	j.wroteAt = j.core.now()
	if complete && !res.NoBody && res.Length >= 0 && int64(len(body)) < res.Length {
		return resultBroken, nil
	}
	if res.Status >= http.StatusInternalServerError {
		return j.relayFailure(ctx, res, body, complete, wd)
	}
	j.billInFull = res.Status < http.StatusMultipleChoices
	if complete {
		j.sendHeader(res.Status, res.Header, bodyLength(res, body), partSent)
		if j.forward(body) != nil {
			return resultCallerLeft, nil
		}
		return resultDone, nil
	}
	return j.relayUnbuffered(res, body, wd), nil
}

// bodyLength returns the length to state for a response whose body was read completely. One without a body may state the
// length of another.
func bodyLength(res *upstream.Response, body []byte) int64 {
	if res.NoBody {
		return res.Length
	}
	return int64(len(body))
}

// relayFailure returns a server error that fits into the buffer, so that it can be sent if no other attempt succeeds. Of a
// longer one, first holds only the beginning: it is dropped if the request is retried, and forwarded otherwise.
func (j *job) relayFailure(ctx context.Context, res *upstream.Response, first []byte, complete bool, wd *watchdog) (result, *failedResponse) {
	switch {
	case complete:
		return resultFailed, &failedResponse{status: res.Status, header: res.Header, length: bodyLength(res, first), body: first}
	case j.shouldRetry(ctx, resultFailed):
		return resultFailureDropped, nil
	}
	if end := j.relayUnbuffered(res, first, wd); end != resultDone {
		return end, nil
	}
	return resultFailureSent, nil
}

// relayUnbuffered forwards a response that is too long to be buffered. first holds the bytes that have been read
// already. Silence no longer ends the attempt, since no other one could continue the response.
func (j *job) relayUnbuffered(res *upstream.Response, first []byte, wd *watchdog) result {
	wd.stop()
	j.sendHeader(res.Status, res.Header, res.Length, partSent)
	if j.forward(first) != nil {
		return resultCallerLeft
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 && j.forward(buf[:n]) != nil {
			return resultCallerLeft
		}
		if errors.Is(err, io.EOF) {
			return resultDone
		}
		if err != nil {
			return j.interrupted(err)
		}
	}
}

// interrupted records how a response violated the protocol whose body cannot be read to its end.
func (j *job) interrupted(err error) result {
	j.fault = upstream.ProtocolFaultOf(err)
	return resultBroken
}

const copyBufferSize = 16 << 10
