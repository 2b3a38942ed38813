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

// Line is one line of an instance's log that reports a request.
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
	PauseMs   int64         `json:"pause_ms"` // the longest between two events
	Prompt    int64         `json:"prompt_tokens"`
	Late      string        `json:"late"`        // what came later than the route wants it; empty: nothing
	Restored  int64         `json:"restored_ms"` // since the store was restored from an older copy; 0: not lately
	Endpoints []AttemptLine `json:"endpoints"`
}

// AttemptLine is one sending of a request in a Line.
type AttemptLine struct {
	Endpoint   string `json:"endpoint"`
	Reason     string `json:"reason"`
	End        string `json:"end"`
	AtMs       int64  `json:"at_ms"`
	SkipReason string `json:"kept_off"` // why the first endpoint in the order of affinity got no work; empty: it has work, or is this one
}

// longestLine is the longest line of a log that is read, in bytes.
const longestLine = 1 << 20

// requestEnded is the event of the line that reports a request's end.
const requestEnded = "request_ended"

// EachRequestEnd hands the lines about requests that have ended to f, those that hold a text. What stands before a line's JSON, as a time
// or a name, is passed over, and so are lines that are none of ours.
func EachRequestEnd(r io.Reader, text string, f func(Line)) error {
	return eachLine(r, text, func(l Line) {
		if l.Event == requestEnded {
			f(l)
		}
	})
}

// StoreCallsLine is a line of an instance's log that tells how often it called the store since the line before.
type StoreCallsLine struct {
	Event    string         `json:"event"`
	Instance string         `json:"instance"`
	Role     Role           `json:"role"`
	Calls    map[string]int `json:"calls"` // by what they were for and how they ended; see callCounts.add
}

// EachStoreCalls hands the lines about calls to the store to f.
func EachStoreCalls(r io.Reader, f func(StoreCallsLine)) error {
	return eachLine(r, storeCalls, func(l StoreCallsLine) {
		if l.Event == storeCalls {
			f(l)
		}
	})
}

// eachLine decodes the lines that hold a text.
func eachLine[L any](r io.Reader, text string, f func(L)) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, longestLine/16), longestLine)
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

// ReadLines finds the lines about a request in a log.
func ReadLines(r io.Reader, request string) ([]Line, error) {
	var out []Line
	err := EachRequestEnd(r, request, func(l Line) {
		if l.Request == request {
			out = append(out, l)
		}
	})
	return out, err
}

// Explain tells a request's story in sentences, in the order of time.
func Explain(w io.Writer, lines []Line) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	for _, l := range lines {
		if _, err := io.WriteString(w, l.story()); err != nil {
			return eris.Wrap(err, "writing the story")
		}
	}
	return nil
}

func (l Line) story() string {
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
		_, _ = fmt.Fprintf(&b, "  attempt %d: endpoint %s by %s, %d ms in: %s%s\n", i+1, e.Endpoint, e.Reason, e.AtMs, e.End, e.keptOff())
	}
	_, _ = fmt.Fprintf(&b, "  %s; %d tokens billed\n", l.ending(), l.Used)
	return b.String()
}

func (e AttemptLine) keptOff() string {
	if e.SkipReason == "" {
		return ""
	}
	return " (the first by affinity gets no work: " + e.SkipReason + ")"
}

func (l Line) ending() string {
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
