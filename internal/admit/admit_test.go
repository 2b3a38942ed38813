package admit

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

func ask(priority int, customer string, long bool) Request {
	return Request{Priority: priority, Customer: customer, Long: long, Deadline: time.Now().Add(time.Minute)}
}

// waitIn queues a request and says its name when it gets in.
func waitIn(t *testing.T, g *Gate, a Request, name string, in chan<- string) {
	t.Helper()
	_, before := g.Counts()
	go func() {
		leave, err := g.Admit(context.Background(), a)
		if err != nil {
			in <- name + " refused"
			return
		}
		in <- name
		leave()
	}()
	for _, n := g.Counts(); n == before; _, n = g.Counts() {
		time.Sleep(time.Millisecond)
	}
}

func order(n int, in <-chan string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = <-in
	}
	return out
}

func TestGate(t *testing.T) {
	Convey("Given one place that is taken", t, func() {
		g := New(func() int { return 1 }, time.Now)
		leave, err := g.Admit(context.Background(), ask(1, "a", false))
		So(err, ShouldBeNil)
		in := make(chan string, 10)
		Convey("urgent requests come before others, whenever they came", func() {
			waitIn(t, g, ask(5, "a", false), "batch", in)
			waitIn(t, g, ask(1, "a", false), "urgent", in)
			leave()
			So(order(2, in), ShouldResemble, []string{"urgent", "batch"})
		})
		Convey("customers take turns", func() {
			waitIn(t, g, ask(1, "a", false), "a1", in)
			waitIn(t, g, ask(1, "a", false), "a2", in)
			waitIn(t, g, ask(1, "b", false), "b1", in)
			leave()
			So(order(3, in), ShouldResemble, []string{"a1", "b1", "a2"})
		})
		Convey("short requests come before long ones of their class", func() {
			waitIn(t, g, ask(1, "a", true), "long", in)
			waitIn(t, g, ask(1, "a", false), "short", in)
			leave()
			So(order(2, in), ShouldResemble, []string{"short", "long"})
		})
		Convey("a caller that leaves the queue is told not run, and its place in it is free", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := g.Admit(ctx, ask(1, "a", false))
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			_, waiting := g.Counts()
			So(waiting, ShouldEqual, 0)
			leave()
		})
		Convey("a deadline that has passed is refused at once", func() {
			a := ask(1, "a", false)
			a.Deadline = time.Now().Add(-time.Second)
			_, err := g.Admit(context.Background(), a)
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeDeadline)
			leave()
		})
	})
	Convey("Long requests never take every place", t, func() {
		g := New(func() int { return 4 }, time.Now)
		for range 3 {
			_, err := g.Admit(context.Background(), ask(1, "a", true))
			So(err, ShouldBeNil)
		}
		in := make(chan string, 2)
		waitIn(t, g, ask(1, "a", true), "long", in)
		_, err := g.Admit(context.Background(), ask(1, "b", false))
		So(err, ShouldBeNil)
		running, waiting := g.Counts()
		So(running, ShouldEqual, 4)
		So(waiting, ShouldEqual, 1)
	})
	Convey("A full queue drops the newest of the least urgent for an urgent one", t, func() {
		g := New(func() int { return 0 }, time.Now)
		in := make(chan string, smallestWait+1)
		for range smallestWait {
			waitIn(t, g, ask(5, "a", false), "batch", in)
		}
		go func() { _, _ = g.Admit(context.Background(), ask(1, "b", false)) }()
		So(<-in, ShouldEqual, "batch refused")
	})
}
