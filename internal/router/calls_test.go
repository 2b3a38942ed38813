package router

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

func TestCallLog(t *testing.T) {
	Convey("Calls to the store are logged by purpose, and each only once", t, func() {
		var out bytes.Buffer
		l := &callLog{counts: newCallCounts(), sent: newCallCounts(), role: func() Role { return RoleLeader }, log: zerolog.New(&out)}
		kv := memkv.New()
		store := external.Observe(kv)
		store.OnCall(l.counts.add)
		draw := external.WithDuty(context.Background(), external.DutyDraw)
		_, _, err := store.Read(draw, "a")
		So(err, ShouldBeNil)
		_, _, err = store.ReadAll(external.WithStale(draw), "a")
		So(err, ShouldBeNil)
		_, err = store.Commit(draw, external.Commit{When: []external.Condition{{Key: "a", Revision: 7}}})
		So(err, ShouldNotBeNil)
		_, _, err = store.Changes(context.Background(), "a", 0, time.Millisecond)
		So(err, ShouldBeNil)
		l.sent.addBytes("feed.news", 40)
		l.sent.addBytes("feed.news", 2)
		l.write()
		for _, want := range []string{`"role":"leader"`, `"draw_read":1`, `"draw_list_stale":1`, `"draw_commit_conflict":1`, `"other_changes":1`, `"bytes":{"feed.news":42}`} {
			So(out.String(), ShouldContainSubstring, want)
		}
		out.Reset()
		l.write()
		So(out.String(), ShouldBeEmpty)
	})
}
