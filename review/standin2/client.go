package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// kept is a client's connection to a router, kept for many requests.
type kept struct {
	conn net.Conn
	br   *bufio.Reader
}

func dial(addr string) (*kept, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{conn: c, br: bufio.NewReader(c)}, nil
}

// request is a client's attempt.
type request struct {
	id, method, path, key string
	in, out               int // tokens; 0: not a generation
	parts                 string
	deadline              time.Duration
	body                  string
	last                  int // events that the client has
}

// exchange sends a request and reads its answer. ok reports that the connection may be used again.
func (k *kept) exchange(j *journal, r request, node string) (a answer, ok bool) {
	a = answer{ID: r.id, Node: node, Path: r.path, Key: r.key, In: r.in, Out: r.out, Sent: j.now()}
	defer func() {
		a.Ended = j.now()
		j.addAnswer(a)
	}()
	j.addSent(r, node)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.key, r.deadline.Milliseconds())
	if r.out > 0 {
		fmt.Fprintf(&b, "Model: m\r\nToken-Counts: %d,%d\r\nPrompt-Prefix: %s\r\n", r.in, r.out, r.parts)
	}
	if r.last > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", r.last)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	_ = k.conn.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	if _, err := io.WriteString(k.conn, b.String()); err != nil {
		a.Error = "write: " + err.Error()
		return a, false
	}
	res, err := http.ReadResponse(k.br, &http.Request{Method: r.method})
	if err != nil {
		a.Error = "head: " + err.Error()
		return a, false
	}
	defer func() { _ = res.Body.Close() }()
	a.Status, a.Stamp, a.AnswerID = res.StatusCode, res.Header.Get("Server-Stamp"), res.Header.Get("Request-Id")
	if r.out > 0 && res.StatusCode == http.StatusOK {
		err = a.readEvents(res.Body, r.last)
	} else {
		var text []byte
		text, err = io.ReadAll(res.Body)
		a.Body = string(text)
	}
	a.Whole = err == nil
	if err != nil {
		a.Error = "body: " + err.Error()
	}
	return a, err == nil && !res.Close
}

// readEvents reads a stream and checks its order.
func (a *answer) readEvents(body io.Reader, last int) error {
	br := bufio.NewReader(body)
	for {
		var lines []string
		for {
			line, err := br.ReadString('\n')
			if errors.Is(err, io.EOF) && line == "" && len(lines) == 0 {
				return nil
			}
			if err != nil {
				return err
			}
			line = strings.TrimRight(line, "\r\n")
			if line == "" {
				break
			}
			lines = append(lines, line)
		}
		id, _ := strconv.Atoi(strings.TrimPrefix(lines[0], "id: "))
		last++
		if id != last {
			a.Problem = fmt.Sprintf("ORDER: event %d where %d is due", id, last)
		}
		a.Events++
	}
}
