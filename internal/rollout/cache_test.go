package rollout

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
)

// recordingTable records the events that it receives.
type recordingTable struct {
	events []wire.CacheEvent
	gaps   int
}

func (t *recordingTable) CacheEvents(_ string, events []wire.CacheEvent, gap bool) {
	t.events = append(t.events, events...)
	if gap {
		t.gaps++
	}
}

func TestCacheEvents(t *testing.T) {
	ctx := context.Background()
	Convey("Given an engine that has served a long prompt", t, func() {
		e := engine.New("m", engine.WithTimes(0, 0))
		srv := httptest.NewServer(e.Handler())
		defer srv.Close()
		d := endpoint.NewDriver()
		send := func(prompt string) []uint64 {
			body := []byte(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"` + strings.Repeat(prompt, 200) + `"}]}`)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+wire.PathCompletions, strings.NewReader(string(body)))
			So(err, ShouldBeNil)
			req.Header.Set(chat.HeaderRequestID, prompt)
			resp, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			return pool.Blocks(body)
		}
		tb := &recordingTable{}
		s := &Cache{reader: d, table: tb, members: singleInstance{}, lastSeq: make(map[string]int64)}
		Convey("its blocks are reported, and can be moved to another engine", func() {
			blocks := send("hello ")
			s.read(ctx, "e", srv.URL)
			So(len(tb.events), ShouldEqual, len(blocks))
			So(tb.gaps, ShouldEqual, 0)
			data, err := d.ExportKV(ctx, srv.URL, blocks[0])
			So(err, ShouldBeNil)
			other := httptest.NewServer(engine.New("m").Handler())
			defer other.Close()
			_, err = d.ExportKV(ctx, other.URL, blocks[0])
			So(err, ShouldNotBeNil)
			So(d.ImportKV(ctx, other.URL, blocks[0], data), ShouldBeNil)
			_, err = d.ExportKV(ctx, other.URL, blocks[0])
			So(err, ShouldBeNil)
		})
		Convey("a gap is detected", func() {
			e.Set(engine.CacheGap, true)
			send("other ")
			s.read(ctx, "e", srv.URL)
			So(tb.gaps, ShouldEqual, 1)
		})
	})
}
