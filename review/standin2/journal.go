package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that an engine began to run.
type run struct {
	ID, Engine, Service, Tenant, Key, Path string
	Body                                   int
	At                                     int64 // ms since the start of the case
}

// answer is what a client got for an attempt.
type answer struct {
	ID, Node, Path, Key string
	In, Out             int
	Sent, Ended         int64 // ms since the start of the case
	Status              int   // 0: none
	Stamp, AnswerID     string
	Body                string
	Events              int
	Whole               bool
	Error, Problem      string
}

// journal records what was sent, answered and run.
type journal struct {
	began time.Time
	mu    sync.Mutex
	f     *os.File

	answers []answer
	runs    []run
}

func newJournal(path string) *journal {
	f, err := os.Create(path)
	if err != nil {
		fail("creating the record: %v", err)
	}
	return &journal{began: time.Now(), f: f}
}

func (j *journal) now() int64 { return time.Since(j.began).Milliseconds() }

func (j *journal) line(kind string, v any) {
	raw, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(j.f, "%s %s\n", kind, raw)
}

// addSent records that a client sends a request.
func (j *journal) addSent(r request, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.line("sent", map[string]any{"ID": r.id, "Node": node, "Method": r.method, "Path": r.path, "Key": r.key, "In": r.in, "Out": r.out, "Body": len(r.body), "At": j.now()})
}

func (j *journal) addRun(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	j.line("run", r)
}

func (j *journal) addAnswer(a answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers = append(j.answers, a)
	j.line("answer", a)
}

// note records an event of the case and prints it.
func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(j.f, "note %d %s\n", time.Since(j.began).Milliseconds(), text)
	fmt.Printf("%6d %s\n", time.Since(j.began).Milliseconds(), text)
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}
