package httpcheck

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// transport checks the responses of another transport.
type transport struct {
	next http.RoundTripper
}

// Transport returns a transport that fails instead of returning an invalid response of next. nil: http.DefaultTransport.
func Transport(next http.RoundTripper) http.RoundTripper {
	if next == nil {
		next = http.DefaultTransport
	}
	return &transport{next: next}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.next.RoundTrip(req.WithContext(checkInterim(req.Context())))
	if err != nil {
		return nil, err
	}
	if err := Response(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	res.Body = &trailerChecker{ReadCloser: res.Body, response: res}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the other transport, for http.Client.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkInterim returns a context whose request fails at an invalid interim response, or after too many.
func checkInterim(ctx context.Context) context.Context {
	n := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if n++; n > MaxInterim {
				return ErrTooManyInterim // the transport sets no limit if there is such a function
			}
			return Fields(http.Header(h))
		},
	})
}

// trailerChecker is a response body that ends with an error if the trailer that follows it is invalid.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := Fields(c.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, err
}
