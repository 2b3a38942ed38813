package cleaneof

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// failingConn is a connection whose data has ended. Each write waits for release and returns an error, or waits for a
// write deadline.
type failingConn struct {
	net.Conn
	writing  chan struct{} // closed once a write has begun
	deadline chan struct{} // closed by a write deadline
	release  chan error
}

func newFailingConn() *failingConn {
	return &failingConn{writing: make(chan struct{}), deadline: make(chan struct{}), release: make(chan error, 1)}
}

func (*failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *failingConn) Write([]byte) (int, error) {
	close(c.writing)
	select {
	case err := <-c.release:
		return 0, err
	case <-c.deadline:
		return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
	}
}

func (c *failingConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// uploadConn is a connection whose data has ended, and whose writes succeed or return err.
type uploadConn struct {
	net.Conn
	eof chan struct{} // closed by the first read
	err error
}

func (c *uploadConn) Read([]byte) (int, error) {
	close(c.eof)
	return 0, io.EOF
}

func (c *uploadConn) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	return len(p), nil
}

func (*uploadConn) SetWriteDeadline(time.Time) error { return nil }

func TestEndOfFile(t *testing.T) {
	read := func(c *Conn) error {
		_, err := c.Read(make([]byte, 1))
		return err
	}
	Convey("An end of file is one if nothing has been written", t, func() {
		So(read(New(newFailingConn())), ShouldEqual, io.EOF)
	})
	for _, failure := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		Convey("It is none after a write that failed: "+failure.Error(), t, func() {
			raw := newFailingConn()
			c := New(raw)
			raw.release <- failure
			_, err := c.Write([]byte("x"))
			So(errors.Is(err, failure), ShouldBeTrue)
			err = read(c)
			So(errors.Is(err, ErrInterrupted), ShouldBeTrue)
			So(errors.Is(err, io.EOF), ShouldBeFalse)
		})
	}
	Convey("A write that waits for the peer is ended, and the end of file is one", t, func() {
		raw := newFailingConn()
		c := New(raw)
		written := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("x"))
			written <- err
		}()
		<-raw.writing
		So(read(c), ShouldEqual, io.EOF)
		So(<-written, ShouldNotBeNil)
	})
	Convey("It is none if a write that is in progress fails", t, func() {
		raw := newFailingConn()
		c := New(raw)
		go func() { _, _ = c.Write([]byte("x")) }()
		<-raw.writing
		raw.release <- syscall.EPIPE
		So(errors.Is(read(c), ErrInterrupted), ShouldBeTrue)
	})
	Convey("It is none if the next write of an upload fails", t, func() {
		raw := &uploadConn{eof: make(chan struct{})}
		c := New(raw)
		c.now, c.wait = func() time.Time { return time.Unix(1, 0) }, time.Hour
		_, err := c.Write(make([]byte, minUpload))
		So(err, ShouldBeNil)
		result := make(chan error, 1)
		go func() { result <- read(c) }()
		<-raw.eof
		raw.err = syscall.EPIPE
		_, err = c.Write(make([]byte, minUpload))
		So(err, ShouldEqual, syscall.EPIPE)
		So(errors.Is(<-result, ErrInterrupted), ShouldBeTrue)
	})
	Convey("It is one at once if less than an upload has been written, or some time ago", t, func() {
		for _, n := range []int{minUpload - 1, minUpload} {
			c := New(&uploadConn{eof: make(chan struct{})})
			c.wait = time.Hour
			_, err := c.Write(make([]byte, n))
			So(err, ShouldBeNil)
			c.now = func() time.Time { return time.Now().Add(time.Duration(n/minUpload) * uploadGap) }
			So(read(c), ShouldEqual, io.EOF)
		}
	})
	Convey("A connection is wrapped once", t, func() {
		c := New(newFailingConn())
		So(New(c), ShouldEqual, c)
	})
}
