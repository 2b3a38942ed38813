package external_test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

func TestObserved(t *testing.T) {
	Convey("An observed store returns the store's responses, and reports each call and its outcome", t, func() {
		ctx := context.Background()
		store := memkv.New()
		o := external.Observe(store)
		_, _, err := o.Read(ctx, "a")
		So(err, ShouldBeNil)
		var reported []string
		o.OnCall(func(c external.Call) { reported = append(reported, c.Name+" "+c.Outcome) })
		put := external.Commit{When: []external.Condition{{Key: "a"}}, Put: []external.Entry{{Key: "a", Data: []byte("x")}}}
		_, err = o.Commit(ctx, put)
		So(err, ShouldBeNil)
		_, err = o.Commit(ctx, put)
		So(err, ShouldNotBeNil)
		e, _, _ := o.Read(ctx, "a")
		So(string(e.Data), ShouldEqual, "x")
		_, _, _ = o.ReadAll(ctx, "")
		store.DropHistory()
		_, _, _ = o.Changes(ctx, "", 0, 0)
		store.SetLoseResponses(true)
		_, _ = o.Commit(ctx, external.Commit{Drop: []string{"a"}})
		store.SetDown(true)
		_, _, _ = o.Read(ctx, "a")
		So(reported, ShouldResemble, []string{
			"commit ok", "commit conflict", "read ok", "list ok", "changes gone", "commit unknown", "read unavailable",
		})
	})
}
