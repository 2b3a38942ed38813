// Package httpcheck rejects responses that Go's parser accepts although they are invalid in HTTP/1.1.
package httpcheck

import (
	"errors"
	"net/http"
	"net/textproto"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// MaxInterim is the number of interim responses that may precede a final one.
const MaxInterim = 8

// Errors of invalid responses. The peer may have run the request.
var (
	ErrStatus         = errors.New("the status of the response is invalid")
	ErrField          = errors.New("a field of the response is invalid")
	ErrTooManyInterim = errors.New("too many interim responses")
)

// Cause returns which of the errors of this package err stands for; nil: err is not that of an invalid response.
func Cause(err error) error {
	var malformed textproto.ProtocolError // of a line that Go's parser rejects
	switch {
	case errors.Is(err, ErrStatus):
		return ErrStatus
	case errors.Is(err, ErrTooManyInterim):
		return ErrTooManyInterim
	case errors.Is(err, ErrField), errors.As(err, &malformed):
		return ErrField
	}
	return nil
}

// Response checks an interim or final response whose header has been parsed. A response that switches the protocol is
// invalid, since no request asks for that.
func Response(res *http.Response) error {
	if res.StatusCode < http.StatusContinue || res.StatusCode == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrStatus, "status %03d", res.StatusCode)
	}
	return Fields(res.Header)
}

// Fields checks the names of the fields of a header or trailer. Go's parser accepts blanks, and does not recognize such a
// field, although it may state how long the body is.
func Fields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrField, "name %q", name)
		}
	}
	return nil
}
