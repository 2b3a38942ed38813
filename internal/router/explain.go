package router

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Line is a log line of an instance that reports the outcome of a request.
type Line struct {
	Event     string        `json:"event"`
	Time      string        `json:"time"`
	Instance  string        `json:"instance"`
	Zone      string        `json:"zone"`
	Request   string        `json:"request"`
	Route     string        `json:"route"`
	Kind      string        `json:"kind"`
	Service   string        `json:"service"`
	Customer  string        `json:"customer"`
	Version   int64         `json:"version"`
	Status    int           `json:"status"`
	Code      string        `json:"code"`
	Verdict   string        `json:"verdict"`
	Detail    string        `json:"detail"`
	Attempts  int           `json:"attempts"`
	Events    int64         `json:"events"`
	Reserved  int64         `json:"reserved"`
	Used      int64         `json:"used"`
	Left      int64         `json:"escrow_left"`
	Granted   int64         `json:"escrow_granted"`
	Spent     int64         `json:"escrow_spent"`
	Rest      int64         `json:"budget_rest"`
	Out       int64         `json:"budget_out"`
	Unproven  int64         `json:"budget_unproven"`
	AgeMs     int64         `json:"escrow_age_ms"`
	FirstMs   int64         `json:"first_ms"`
	TotalMs   int64         `json:"total_ms"`
	PauseMs   int64         `json:"pause_ms"` // longest pause between two events
	Prompt    int64         `json:"prompt_tokens"`
	Late      string        `json:"late"`        // what missed its target, see relay.Lateness; empty: nothing
	Restored  int64         `json:"restored_ms"` // time since the store was restored from an older copy; 0: not recently
	Endpoints []AttemptLine `json:"endpoints"`
}

// AttemptLine is one attempt of the request in a Line.
type AttemptLine struct {
	Endpoint   string `json:"endpoint"`
	Reason     string `json:"reason"` // why the endpoint was picked
	End        string `json:"end"`
	AtMs       int64  `json:"at_ms"`
	Bytes      int64  `json:"bytes"`    // of the response body that the attempt has brought the caller; 0 for a single attempt
	Dial       string `json:"dial"`     // how the connection attempt failed; empty: it did not
	Fault      string `json:"fault"`    // how the response violated the protocol; empty: it did not
	Via        string `json:"via"`      // the instance that forwarded the connection; empty: none
	SkipReason string `json:"kept_off"` // why the endpoint that is first by affinity was excluded; empty: it was not
}

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// eventRequestEnded is the event name of log lines that report the outcome of a request.
const eventRequestEnded = "request_ended"

// EachRequestEnd calls f for each log line that reports the outcome of a request and contains text. It ignores lines of
// other programs, and anything before the JSON object of a line, such as a timestamp or a name.
func EachRequestEnd(r io.Reader, text string, f func(Line)) error {
	return eachLine(r, text, func(l Line) {
		if l.Event == eventRequestEnded {
			f(l)
		}
	})
}

// StoreCallsLine is a log line of an instance that reports its calls to the store since the previous such line.
type StoreCallsLine struct {
	Event    string         `json:"event"`
	Instance string         `json:"instance"`
	Role     Role           `json:"role"`
	Calls    map[string]int `json:"calls"` // by purpose and outcome; see callCounts.add
}

// EachStoreCalls calls f for each log line that reports calls to the store.
func EachStoreCalls(r io.Reader, f func(StoreCallsLine)) error {
	return eachLine(r, eventStoreCalls, func(l StoreCallsLine) {
		if l.Event == eventStoreCalls {
			f(l)
		}
	})
}

// eachLine decodes the lines that contain text and calls f for each of them.
func eachLine[L any](r io.Reader, text string, f func(L)) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for scan.Scan() {
		raw := scan.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 || !bytes.Contains(raw, []byte(text)) {
			continue
		}
		var line L
		if json.Unmarshal(raw[at:], &line) == nil {
			f(line)
		}
	}
	return eris.Wrap(scan.Err(), "reading a log")
}

// ReadLines returns the lines of a log that report the outcome of the request with the given ID.
func ReadLines(r io.Reader, request string) ([]Line, error) {
	var out []Line
	err := EachRequestEnd(r, request, func(l Line) {
		if l.Request == request {
			out = append(out, l)
		}
	})
	return out, err
}

// Explain writes a description of a request's log lines, in chronological order.
func Explain(w io.Writer, lines []Line) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	for _, l := range lines {
		if _, err := io.WriteString(w, l.explanation()); err != nil {
			return eris.Wrap(err, "writing the explanation")
		}
	}
	return nil
}

func (l Line) explanation() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s at %s: request %s of %s on route %s (%s), configuration %d\n",
		l.Time, l.Instance, l.Request, orNone(l.Customer), orNone(l.Route), orNone(l.Kind), l.Version)
	if l.Reserved > 0 {
		_, _ = fmt.Fprintf(&b, "  budget: %d tokens at its most; here %d granted, %d spent or reserved, %d left to reserve; %d unspent anywhere, known %d ms ago\n",
			l.Reserved, l.Granted, l.Spent, l.Left, l.Rest, l.AgeMs)
	}
	if l.Out > 0 || l.Unproven > 0 {
		_, _ = fmt.Fprintf(&b, "  of what is unspent %d are granted to instances; %d count as spent by instances that were lost\n", l.Out, l.Unproven)
	}
	if l.Restored > 0 {
		_, _ = fmt.Fprintf(&b, "  the store was restored from an older copy %d ms before: grants are raised again once all instances have stated theirs\n", l.Restored)
	}
	for i, e := range l.Endpoints {
		_, _ = fmt.Fprintf(&b, "  attempt %d: endpoint %s by %s, %d ms in: %s%s\n", i+1, e.Endpoint, e.Reason, e.AtMs, e.endNote(), e.skipNote())
	}
	_, _ = fmt.Fprintf(&b, "  %s; %d tokens billed\n", l.outcome(), l.Used)
	return b.String()
}

func (e AttemptLine) endNote() string {
	note := e.End
	if e.Dial != "" {
		note += " (connection: " + e.Dial + ")"
	}
	if e.Fault != "" {
		note += " (protocol: " + e.Fault + ")"
	}
	if e.Via != "" {
		note += " (through " + e.Via + ")"
	}
	if e.Bytes > 0 {
		note += fmt.Sprintf(" (%d bytes forwarded)", e.Bytes)
	}
	return note
}

func (e AttemptLine) skipNote() string {
	if e.SkipReason == "" {
		return ""
	}
	return " (the first by affinity gets no work: " + e.SkipReason + ")"
}

func (l Line) outcome() string {
	switch {
	case l.Code != "":
		return fmt.Sprintf("ended %d after %d ms, %s (%s): %s", l.Status, l.TotalMs, l.Code, l.Verdict, l.Detail)
	case l.Events > 0:
		return fmt.Sprintf("answered %d, first event after %d ms, %d events, whole after %d ms", l.Status, l.FirstMs, l.Events, l.TotalMs)
	}
	return fmt.Sprintf("answered %d after %d ms", l.Status, l.TotalMs)
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
