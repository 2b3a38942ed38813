package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// engine is a stand-in of an engine. It works as the pages say unless act is set.
type engine struct {
	id, service, zone string
	l                 net.Listener
	events            int           // of a stream
	pause             time.Duration // between events, or work of a plain request
	stride            int
	log               *journal
}

func newEngine(j *journal, id, service, zone, host string) *engine {
	e := &engine{id: id, service: service, zone: zone, l: listen(host), events: 40, pause: 15 * time.Millisecond, stride: 5, log: j}
	go e.accept(e.l)
	return e
}

func (e *engine) addr() string { return e.l.Addr().String() }

// record writes the engine's entry in the store.
func (e *engine) record(s *store, state string) {
	slots := 6
	if e.service == modelService {
		slots = 64
	}
	s.write("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.addr(), "zone": e.zone, "version": "v1", "slots": slots, "state": state, "coldRemainingMs": 0, "sequence": rand.IntN(1 << 20),
	})
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

// serve answers the requests of one connection.
func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.answer(c, r, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection may serve another one.
func (e *engine) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id)
		return err == nil
	}
	e.ran(r, body)
	if r.Header.Get("Token-Counts") != "" {
		return e.stream(c, r) == nil
	}
	time.Sleep(e.pause)
	text := answerText(id, e.id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, e.id, len(text), text)
	return err == nil
}

// ran records that a request has begun to run.
func (e *engine) ran(r *http.Request, body []byte) {
	e.log.addRun(run{ID: r.Header.Get("Request-Id"), Engine: e.id, Service: e.service, Tenant: r.Header.Get("Tenant"), Key: r.Header.Get("Key"), Path: r.RequestURI, Body: len(body), At: e.log.now()})
}

func answerText(id, engine string) string { return "the answer to " + id + " by " + engine }

// stream writes the events that follow Last-Event-Id.
func (e *engine) stream(c net.Conn, r *http.Request) error {
	id := r.Header.Get("Request-Id")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, out, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	most, _ := strconv.Atoi(out)
	n := min(e.events, most/e.stride)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id); err != nil {
		return err
	}
	for i := first + 1; i <= n; i++ {
		time.Sleep(e.pause)
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// listen listens on a free port of a loopback address.
func listen(host string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		fail("listening on %s: %v", host, err)
	}
	return l
}
