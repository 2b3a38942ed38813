package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// draft asks an instance for a draft, without an idempotency key, and tells how it ended and when to come back.
func (w *world) draft(n *node, prompt string) (answer, time.Duration) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+n.peer.Addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		w.t.Error(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := w.http.RoundTrip(req)
	if err != nil {
		w.t.Error(err)
		return answer{}, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem") {
		var p gateway.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return refusal(p), time.Duration(s * float64(time.Second))
	}
	return readStream(resp.Body, false), 0
}

// ran counts the runs of an engine.
func ran(e *engine.Engine) int { return len(e.Log()) }

func TestChatEdgeWords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("On the chat edge", t, func() {
			w := newWorld(t)
			n, a, b := w.nodes[0], w.engines["zone-a"], w.engines["zone-b"]

			Convey("an endpoint that says in an answer that it leaves gets nothing new", func() {
				a.SetNotices(engine.Notices{Leaving: true})
				for i := range 5 {
					got, _ := w.draft(n, fmt.Sprint("draft ", i))
					So(got.whole, ShouldBeTrue)
				}
				So(ran(a), ShouldEqual, 1)
				So(ran(b), ShouldEqual, 4)
			})

			Convey("an endpoint that asks for rest gets nothing until it is over", func() {
				a.Set(engine.Refuse, true)
				a.SetNotices(engine.Notices{RetryAfter: "3"})
				for i := range 5 {
					got, _ := w.draft(n, fmt.Sprint("draft ", i))
					So(got.whole, ShouldBeTrue)
				}
				So(a.Rejected(), ShouldEqual, 1)
				So(ran(b), ShouldEqual, 5)

				Convey("and where all do, a request is refused at once, as not run, until the first rests no more", func() {
					b.Set(engine.Refuse, true)
					b.SetNotices(engine.Notices{RetryAfter: "2"})
					w.draft(n, "the one that is turned away")
					begun := time.Now()
					got, after := w.draft(n, "one more")
					So(time.Since(begun), ShouldEqual, 0)
					So(got.verdict, ShouldEqual, verdict.NotRun)
					So(got.code, ShouldEqual, verdict.CodeNoEndpoint)
					So(after, ShouldBeGreaterThan, time.Second)
					So(after, ShouldBeLessThanOrEqualTo, 4*time.Second)
					So(a.Rejected()+b.Rejected(), ShouldEqual, 2)
				})
			})
		})
	})
}

// An endpoint that ends with a request broke the request off, which was then sent to the next one, and came back with a new ID.
func TestChatEdgeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("On the chat edge, a request under which three endpoints have ended is kept from the others, and other requests are not", t, func() {
			const deadly = "the prompt that no endpoint outlives"
			w := newWorld(t)
			n := w.nodes[0]
			ends, arrived := 0, 0
			for zone, e := range w.engines {
				host, next := "engine."+zone, e.Handler()
				var serve http.HandlerFunc
				serve = func(rw http.ResponseWriter, r *http.Request) {
					if r.URL.Path != wire.PathCompletions || !w.asks(r, deadly) {
						next.ServeHTTP(rw, r)
						return
					}
					arrived++
					ends++
					w.http.SetDown(host)
					time.AfterFunc(2*time.Second, func() { w.http.Handle(host, serve) })
					panic(http.ErrAbortHandler)
				}
				w.http.Handle(host, serve)
			}
			for range 6 {
				_, _ = w.draft(n, deadly)
				time.Sleep(5 * time.Second)
				w.clock.Advance(5 * time.Second)
			}
			So(ends, ShouldEqual, 3)
			got, after := w.draft(n, deadly)
			So(got.verdict, ShouldEqual, verdict.NotRun)
			So(got.code, ShouldEqual, verdict.CodeQuarantined)
			So(after, ShouldBeGreaterThan, time.Minute)
			So(arrived, ShouldEqual, 3)
			other, _ := w.draft(n, "another prompt")
			So(other.whole, ShouldBeTrue)
			synctest.Wait()
			So(strings.Count(n.log.String(), quarantine.EventCrash), ShouldEqual, 3)
			So(strings.Count(n.log.String(), quarantine.EventQuarantined), ShouldEqual, 1)
		})
	})
}

// asks reports whether a request to an engine has a prompt, and leaves its body to be read again.
func (w *world) asks(r *http.Request, prompt string) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.t.Error(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	req, err := chat.ParseRequest(body)
	return err == nil && strings.Contains(string(engine.Prompt(req)), prompt)
}
