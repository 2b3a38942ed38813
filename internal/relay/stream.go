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

	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// maxEventBytes is the maximum size of an event in a stream.
const maxEventBytes = 1 << 20

// firstEventBytes is the size of an event up to which its buffer is part of memory.RequestOverhead.
const firstEventBytes = 4 << 10

var errEventTooLong = errors.New("event too long")

// isStream reports whether a response is a stream of events.
func (j *job) isStream(res *upstream.Response) bool {
	if j.route.Kind != route.Streaming || res.Status != http.StatusOK {
		return false
	}
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == eventStream
}

// relayStream forwards each event of a stream once it has arrived completely. sent is the time at which the request was
// sent to the endpoint.
func (j *job) relayStream(res *upstream.Response, wd *watchdog, lease *pool.Lease, sent time.Time) result {
	r := bufio.NewReader(res.Body)
	var event []byte
	resuming := j.delivered.started()
	for {
		var err error
		event, err = readEvent(r, event[:0], j.req.Memory)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if j.wroteAt.IsZero() {
				j.wroteAt = j.core.now()
			}
			j.sendHeader(res.Status, res.Header, -1, eventsSent)
			return resultDone
		}
		if err != nil {
			return j.interrupted(err)
		}
		wd.received()
		wd.noteFirstEvent()
		if j.lastEventAt.IsZero() {
			lease.ObserveFirstEvent(j.req.TokensIn, j.core.now().Sub(sent))
		}
		j.notePartsWritten(j.core.now())
		id := eventID(event)
		if resuming && !j.delivered.follows(id) {
			return resultUnrelated
		}
		resuming = resuming && id == ""
		j.bind(lease.Endpoint().Software)
		j.sendHeader(res.Status, res.Header, -1, eventsSent)
		if !isComment(event) {
			j.recordEvent(id)
		}
		if !j.mayContinue() {
			wd.stop()
		}
		if j.forward(event) != nil {
			return resultCallerLeft
		}
	}
}

// recordEvent updates the longest pause, and counts the event if it has an ID.
func (j *job) recordEvent(id string) {
	now := j.core.now()
	if !j.lastEventAt.IsZero() {
		j.outcome.MaxPause = max(j.outcome.MaxPause, now.Sub(j.lastEventAt))
	}
	j.lastEventAt = now
	j.delivered.addEvent(id)
	if id != "" {
		j.events++
	}
}

// readEvent appends the next event of a stream to event, including the empty line that terminates it. If it returns
// io.EOF without any bytes, the stream has ended. If it returns an error with bytes, the event was truncated, or too long
// for the memory of open requests.
func readEvent(r *bufio.Reader, event []byte, account *memory.Account) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		size := max(cap(event), firstEventBytes)
		event = append(event, line...)
		if len(event) > maxEventBytes || !account.Grow(int64(cap(event)-size)) {
			return event, errEventTooLong
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

// isComment reports whether a block of a stream consists of comments, which are no event.
func isComment(block []byte) bool {
	for line := range bytes.Lines(block) {
		if !isBlank(line) && line[0] != ':' {
			return false
		}
	}
	return true
}

var idField = []byte("id:")

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// watchdog cancels an attempt whose endpoint has become silent, if the request may be retried at another endpoint.
type watchdog struct {
	lease          *pool.Lease
	now            func() time.Time
	pathLost       func() bool   // this instance has lost the path that the attempt uses
	firstTimeout   time.Duration // maximum silence before the first event
	laterTimeout   time.Duration // maximum silence after the first event
	started        time.Time     // when the attempt started
	lastReceived   atomic.Int64  // when data was last received, in nanoseconds since started
	firstEventSeen atomic.Bool
	expired        atomic.Bool

	mu    sync.Mutex
	timer *time.Timer // nil: stopped, or never started
}

// watch returns a watchdog for an attempt. If the request cannot be retried, the watchdog only records when data is
// received, and cancels nothing.
func (j *job) watch(lease *pool.Lease, cancel func()) *watchdog {
	w := &watchdog{
		lease: lease, now: j.core.now, firstTimeout: max(j.core.stallTimeout, lease.ResponseTimeout()), laterTimeout: max(j.core.stallTimeout, stallGapFactor*j.route.Gap),
		started: j.core.now(), pathLost: j.directPathLost(lease.Endpoint()),
	}
	if !j.hasOtherAttempt() {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.firstTimeout, func() { w.check(cancel) })
	return w
}

// stallGapFactor is how many times the route's target for pauses a stream may pause before it is resumed at another
// endpoint. That endpoint must process the prompt again, so the watchdog waits for the end of shorter pauses.
const stallGapFactor = 3

// timeout returns how long the endpoint may currently be silent.
func (w *watchdog) timeout() time.Duration {
	if w.firstEventSeen.Load() {
		return w.laterTimeout
	}
	return w.firstTimeout
}

// noteFirstEvent records that the first event was received.
func (w *watchdog) noteFirstEvent() { w.firstEventSeen.Store(true) }

// check cancels the attempt if the endpoint has been silent for too long, towards this request and towards all other
// requests of this instance. The others do not count if their connections take another path.
func (w *watchdog) check(cancel func()) {
	timeout := w.timeout()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	silence := w.now().Sub(w.started) - time.Duration(w.lastReceived.Load())
	if silence >= timeout && (w.lease.Silent() || w.pathLost()) {
		w.expired.Store(true)
		cancel()
		return
	}
	w.timer.Reset(max(timeout-silence, timeout/checksPerStall))
}

// checksPerStall limits how often silence is checked within one timeout.
const checksPerStall = 4

func (w *watchdog) received() {
	w.lastReceived.Store(int64(w.now().Sub(w.started)))
	w.lease.Received()
}

// watchedBody is a response body that notifies a watchdog of what it receives.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
}

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.received()
	}
	return n, err
}

func (w *watchdog) stalled() bool { return w.expired.Load() }

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
