package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// mostEvent is the longest event that is passed on, in bytes.
const mostEvent = 1 << 20

var errLongEvent = errors.New("an event is too long")

// streams reports whether an answer is a stream of events.
func (j *job) streams(res *upstream.Response) bool {
	if j.route.Kind != route.Streaming || res.Status != http.StatusOK {
		return false
	}
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == eventStream
}

// stream passes events on as they come, only whole ones. sent is when the request went to the endpoint.
func (j *job) stream(res *upstream.Response, watch *watchdog, lease *pool.Lease, sent time.Time) result {
	r := bufio.NewReader(res.Body)
	var event []byte
	for {
		var err error
		event, err = readEvent(r, event[:0])
		if errors.Is(err, io.EOF) && len(event) == 0 {
			j.begin(res.Status, res.Header, -1)
			return resultDone
		}
		if err != nil {
			return resultBroken
		}
		watch.received()
		watch.begin()
		if j.heard.IsZero() {
			lease.ObserveFirstEvent(j.req.TokensIn, j.core.now().Sub(sent))
		}
		id := eventID(event)
		j.begin(res.Status, res.Header, -1)
		j.received(id)
		if j.out.Write(event) != nil {
			return resultLeft
		}
	}
}

// received notes an event, by its ID if it has one.
func (j *job) received(id string) {
	now := j.core.now()
	if !j.heard.IsZero() {
		j.outcome.MaxPause = max(j.outcome.MaxPause, now.Sub(j.heard))
	}
	j.heard = now
	if id != "" {
		j.events++
		j.last = id
	}
}

// readEvent appends the next event, with the empty line that ends it. io.EOF with no bytes is the end of the stream; bytes
// without an end are an event that was cut off.
func readEvent(r *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > mostEvent {
			return event, errLongEvent
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

var idField = []byte("id:")

// eventID finds the ID in an event.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// watchdog ends an attempt whose endpoint has fallen silent, where the request may go on elsewhere.
type watchdog struct {
	lease *pool.Lease
	now   func() time.Time
	first time.Duration // how long the endpoint may be silent before the first event
	later time.Duration // and after it
	since time.Time     // the watch began
	last  atomic.Int64  // when something was heard, in nanoseconds since then
	begun atomic.Bool
	fired atomic.Bool

	mu    sync.Mutex
	timer *time.Timer // nil: it is over, or was never needed
}

// watch starts a watchdog; for a request that may not be repeated it only notes what is heard.
func (j *job) watch(lease *pool.Lease, cancel func()) *watchdog {
	w := &watchdog{
		lease: lease, now: j.core.now, first: max(j.core.stall, lease.ResponseTimeout()), later: max(j.core.stall, stallGaps*j.route.Gap),
		since: j.core.now(),
	}
	if !j.route.Repeatable() || j.attempts+1 >= j.route.MaxAttempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.first, func() { w.check(cancel) })
	return w
}

// stallGaps is how many times the longest pause that is in time a stream may rest: going on elsewhere means reading the prompt again.
const stallGaps = 3

// limit is how long the endpoint may be silent now.
func (w *watchdog) limit() time.Duration {
	if w.begun.Load() {
		return w.later
	}
	return w.first
}

// begin notes the first event.
func (w *watchdog) begin() { w.begun.Store(true) }

// check ends the attempt if the endpoint says nothing, to this request nor to any other of this instance.
func (w *watchdog) check(cancel func()) {
	stall := w.limit()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	quiet := w.now().Sub(w.since) - time.Duration(w.last.Load())
	if quiet >= stall && w.lease.Silent() {
		w.fired.Store(true)
		cancel()
		return
	}
	w.timer.Reset(max(stall-quiet, stall/watchSteps))
}

// watchSteps is how many times a silence is looked at again within the length of a stall.
const watchSteps = 4

func (w *watchdog) received() {
	w.last.Store(int64(w.now().Sub(w.since)))
	w.lease.Received()
}

func (w *watchdog) stalled() bool { return w.fired.Load() }

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
