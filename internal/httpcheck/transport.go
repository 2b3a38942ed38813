package httpcheck

import (
	"net/http"
)

// transport checks the responses of another transport.
type transport struct {
	next http.RoundTripper
}

// Transport returns a transport that fails instead of returning an invalid response of next.
func Transport(next http.RoundTripper) http.RoundTripper { return &transport{next: next} }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Response(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the other transport, for http.Client.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
