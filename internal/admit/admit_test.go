package admit

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

func newRequest(priority int, customer string, long bool) Request {
	return Request{Priority: priority, Customer: customer, Long: long, Deadline: time.Now().Add(time.Minute)}
}

// enqueue queues a request and sends its name once it is admitted, or the name and " refused" if it is rejected.
func enqueue(t *testing.T, g *Gate, req Request, name string, results chan<- string) {
	t.Helper()
	_, before := g.Counts()
	go func() {
		release, err := g.Admit(context.Background(), req)
		if err != nil {
			results <- name + " refused"
			return
		}
		results <- name
		release()
	}()
	for _, n := g.Counts(); n == before; _, n = g.Counts() {
		time.Sleep(time.Millisecond)
	}
}

func receive(n int, results <-chan string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = <-results
	}
	return out
}

func TestGate(t *testing.T) {
	Convey("Given a single slot that is in use", t, func() {
		g := New(func() int { return 1 }, time.Now)
		release, err := g.Admit(context.Background(), newRequest(1, "a", false))
		So(err, ShouldBeNil)
		admitted := make(chan string, 10)
		Convey("urgent requests precede others, whenever they arrived", func() {
			enqueue(t, g, newRequest(5, "a", false), "batch", admitted)
			enqueue(t, g, newRequest(1, "a", false), "urgent", admitted)
			release()
			So(receive(2, admitted), ShouldResemble, []string{"urgent", "batch"})
		})
		Convey("customers are served in turn", func() {
			enqueue(t, g, newRequest(1, "a", false), "a1", admitted)
			enqueue(t, g, newRequest(1, "a", false), "a2", admitted)
			enqueue(t, g, newRequest(1, "b", false), "b1", admitted)
			release()
			So(receive(3, admitted), ShouldResemble, []string{"a1", "b1", "a2"})
		})
		Convey("short requests precede long ones of the same priority", func() {
			enqueue(t, g, newRequest(1, "a", true), "long", admitted)
			enqueue(t, g, newRequest(1, "a", false), "short", admitted)
			release()
			So(receive(2, admitted), ShouldResemble, []string{"short", "long"})
		})
		Convey("a caller that leaves the queue gets a not-run error and no longer counts as waiting", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := g.Admit(ctx, newRequest(1, "a", false))
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			_, waiting := g.Counts()
			So(waiting, ShouldEqual, 0)
			release()
		})
		Convey("a request whose deadline has passed is rejected at once", func() {
			req := newRequest(1, "a", false)
			req.Deadline = time.Now().Add(-time.Second)
			_, err := g.Admit(context.Background(), req)
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeDeadline)
			release()
		})
	})
	Convey("Long requests never occupy every slot", t, func() {
		g := New(func() int { return 4 }, time.Now)
		for range 3 {
			_, err := g.Admit(context.Background(), newRequest(1, "a", true))
			So(err, ShouldBeNil)
		}
		admitted := make(chan string, 2)
		enqueue(t, g, newRequest(1, "a", true), "long", admitted)
		_, err := g.Admit(context.Background(), newRequest(1, "b", false))
		So(err, ShouldBeNil)
		running, waiting := g.Counts()
		So(running, ShouldEqual, 4)
		So(waiting, ShouldEqual, 1)
	})
	Convey("A full queue drops the newest of the least urgent requests for an urgent one", t, func() {
		g := New(func() int { return 0 }, time.Now)
		admitted := make(chan string, minQueueLimit+1)
		for range minQueueLimit {
			enqueue(t, g, newRequest(5, "a", false), "batch", admitted)
		}
		go func() { _, _ = g.Admit(context.Background(), newRequest(1, "b", false)) }()
		So(<-admitted, ShouldEqual, "batch refused")
	})
}
