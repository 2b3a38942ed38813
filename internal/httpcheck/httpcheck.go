// Package httpcheck decides whether what a peer has sent is a response of HTTP/1.1, where Go's parser accepts more.
package httpcheck

import (
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrStatus reports a response that is none. The peer may have run the request.
var ErrStatus = errors.New("the status of the response is invalid")

// Response checks an interim or final response whose header has been parsed. A response that switches the protocol is
// invalid, since no request asks for that.
func Response(res *http.Response) error {
	if res.StatusCode < http.StatusContinue || res.StatusCode == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrStatus, "status %03d", res.StatusCode)
	}
	return nil
}

// Is reports whether err is that of an invalid response.
func Is(err error) bool { return errors.Is(err, ErrStatus) }
