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

// sendChat sends a chat request without an idempotency key to an instance. It returns the outcome and, for a rejection,
// the Retry-After time.
func (f *testFleet) sendChat(n *node, prompt string) (callResult, time.Duration) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+n.peer.Addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := f.http.RoundTrip(req)
	if err != nil {
		f.t.Error(err)
		return callResult{}, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem") {
		var p gateway.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return rejection(p), time.Duration(s * float64(time.Second))
	}
	return readStream(resp.Body, false), 0
}

// runCount returns the number of runs of an engine.
func runCount(e *engine.Engine) int { return len(e.Log()) }

func TestChatEdgeNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("On the chat API", t, func() {
			f := newFleet(t)
			n, a, b := f.nodes[0], f.engines["zone-a"], f.engines["zone-b"]

			Convey("an endpoint that announces in a response that it leaves gets no new requests", func() {
				a.SetNotices(engine.Notices{Leaving: true})
				for i := range 5 {
					got, _ := f.sendChat(n, fmt.Sprint("draft ", i))
					So(got.complete, ShouldBeTrue)
				}
				So(runCount(a), ShouldEqual, 1)
				So(runCount(b), ShouldEqual, 4)
			})

			Convey("an endpoint that asks for a back-off gets no requests until the back-off is over", func() {
				a.Set(engine.Refuse, true)
				a.SetNotices(engine.Notices{RetryAfter: "3"})
				for i := range 5 {
					got, _ := f.sendChat(n, fmt.Sprint("draft ", i))
					So(got.complete, ShouldBeTrue)
				}
				So(a.Rejected(), ShouldEqual, 1)
				So(runCount(b), ShouldEqual, 5)

				Convey("and when all endpoints do, a request is rejected at once as not run, until the first back-off is over", func() {
					b.Set(engine.Refuse, true)
					b.SetNotices(engine.Notices{RetryAfter: "2"})
					f.sendChat(n, "the one that is turned away")
					start := time.Now()
					got, after := f.sendChat(n, "one more")
					So(time.Since(start), ShouldEqual, 0)
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

// When an endpoint's process crashes during a request, the gateway sends the request to the next endpoint, and a caller's
// retry arrives with a new ID. Without quarantine, one such prompt can crash every endpoint.
func TestChatEdgeQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("On the chat API, a request that has crashed three endpoints is quarantined, and other requests are not", t, func() {
			const crashPrompt = "the prompt that no endpoint outlives"
			f := newFleet(t)
			n := f.nodes[0]
			crashes, arrived := 0, 0
			for zone, e := range f.engines {
				host, next := "engine."+zone, e.Handler()
				var serve http.HandlerFunc
				serve = func(rw http.ResponseWriter, r *http.Request) {
					if r.URL.Path != wire.PathCompletions || !f.hasPrompt(r, crashPrompt) {
						next.ServeHTTP(rw, r)
						return
					}
					arrived++
					crashes++
					f.http.SetDown(host)
					time.AfterFunc(2*time.Second, func() { f.http.Handle(host, serve) })
					panic(http.ErrAbortHandler)
				}
				f.http.Handle(host, serve)
			}
			for range 6 {
				_, _ = f.sendChat(n, crashPrompt)
				time.Sleep(5 * time.Second)
				f.clock.Advance(5 * time.Second)
			}
			So(crashes, ShouldEqual, 3)
			got, after := f.sendChat(n, crashPrompt)
			So(got.verdict, ShouldEqual, verdict.NotRun)
			So(got.code, ShouldEqual, verdict.CodeQuarantined)
			So(after, ShouldBeGreaterThan, time.Minute)
			So(arrived, ShouldEqual, 3)
			other, _ := f.sendChat(n, "another prompt")
			So(other.complete, ShouldBeTrue)
			synctest.Wait()
			So(strings.Count(n.log.String(), quarantine.EventCrash), ShouldEqual, 3)
			So(strings.Count(n.log.String(), quarantine.EventQuarantined), ShouldEqual, 1)
		})
	})
}

// hasPrompt reports whether a request to an engine contains a prompt. It restores the body, so that it can be read again.
func (f *testFleet) hasPrompt(r *http.Request, prompt string) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.t.Error(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	req, err := chat.ParseRequest(body)
	return err == nil && strings.Contains(string(engine.Prompt(req)), prompt)
}
