package escrow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
)

const (
	usedBeforeStop = 250
	usedByAll      = 3 * usedBeforeStop
)

// stoppingWorld returns a world whose nodes have each spent and reported usedBeforeStop. Its store has epochs.
func stoppingWorld() (w *world, n *simNode) {
	w, n, _ = restoredWorld()
	for _, x := range w.nodes {
		w.useTokens(x, "north", usedBeforeStop)
		w.refresh(x)
	}
	return w, n
}

// leave settles a holder's rows on all pages. It repeats an attempt only after a conflict.
func (w *world) leave(n *simNode) (err error) {
	for _, p := range n.holder.pages {
		e := n.holder.leaveOnce(context.Background(), p)
		if errors.Is(e, external.ErrConflict) {
			e = n.holder.leaveOnce(context.Background(), p)
		}
		err = errors.Join(err, e)
	}
	return err
}

// leaveUnanswered is leave with a store whose responses are lost.
func (w *world) leaveUnanswered(n *simNode) {
	w.store.SetLoseResponses(true)
	_ = w.leave(n)
	w.store.SetLoseResponses(false)
}

// Guards against a planned stop charging what its process has spent twice, after a write with an unknown outcome.
func TestStopIsChargedOnce(t *testing.T) {
	const north = "north"
	stops := map[string]func(w *world, n *simNode){
		"if a refresh comes between two attempts": func(w *world, n *simNode) {
			So(w.leave(n), ShouldBeNil)
			w.refresh(n)
			So(w.leave(n), ShouldBeNil)
		},
		"if a refresh comes after an attempt whose response is lost": func(w *world, n *simNode) {
			w.leaveUnanswered(n)
			w.refresh(n)
			So(w.leave(n), ShouldBeNil)
		},
		"if the responses to several attempts are lost, with refreshes between them": func(w *world, n *simNode) {
			for range 3 {
				w.leaveUnanswered(n)
				w.refresh(n)
				w.observe(n)
			}
			So(w.leave(n), ShouldBeNil)
		},
		"if the process ends before it knows, and its successor's settlement is not answered either": func(w *world, n *simNode) {
			w.leaveUnanswered(n)
			w.refresh(n)
			for range 2 {
				w.start(n)
				w.store.SetLoseResponses(true)
				w.refresh(n)
				w.store.SetLoseResponses(false)
			}
			w.start(n)
			w.refresh(n)
		},
		"if the store was restored before, and the first response is lost": func(w *world, n *simNode) {
			w.restoreTo(w.store.Number() - 1)
			for _, x := range w.nodes {
				x.forgetPages()
			}
			w.refresh(w.nodes[1])
			w.leaveUnanswered(n)
			So(w.leave(n), ShouldBeNil)
			for _, x := range w.nodes[1:] {
				w.refresh(x)
			}
		},
	}
	Convey("What a stopping holder has spent is charged once", t, func() {
		for name, stop := range stops {
			Convey(name, func() {
				w, n := stoppingWorld()
				So(w.charged(north), ShouldEqual, usedByAll)
				stop(w, n)
				So(w.charged(north), ShouldEqual, usedByAll)
			})
		}
	})

	Convey("A restoration after a stop takes the settlement back together with its record, and it is made again", t, func() {
		w, n := stoppingWorld()
		copied := w.store.Number()
		So(w.leave(n), ShouldBeNil)
		for _, x := range w.nodes {
			x.forgetPages()
		}
		w.restoreTo(copied)
		w.start(n)
		for _, x := range w.nodes {
			w.refresh(x)
		}
		So(w.charged(north), ShouldEqual, usedByAll)
	})
}

// Guards against rows that the zone's leader writes after their holder has stopped.
func TestPartAfterStopIsNotWritten(t *testing.T) {
	const north = "north"
	Convey("A part that its leader writes after the holder has left adds no row and no charge", t, func() {
		for name, first := range map[string]bool{"of a holder that had no row": true, "of a holder that had one": false} {
			Convey(name, func() {
				w, leader, follower := ledWorld()
				if first {
					follower = w.nodes[2]
					follower.link = linkUp
				}
				used := int64(0)
				if !first {
					w.useTokens(follower, north, usedBeforeStop)
					used = usedBeforeStop
				}
				follower.link = linkDelayed
				w.refresh(follower)
				So(w.leave(follower), ShouldBeNil)
				w.elapsed += time.Second
				w.refresh(leader)
				w.refresh(leader)
				So(w.page(north).Accounts[north].Rows, ShouldNotContainKey, follower.holder.id)
				So(w.charged(north), ShouldEqual, used)
			})
		}
	})
}

// Guards against a process that its successor has settled joining again with all that it ever spent.
func TestSettledHolderDoesNotJoinAgain(t *testing.T) {
	const north = "north"
	Convey("A process that still runs while its successor settles its rows", t, func() {
		w, n := stoppingWorld()
		former := n.holder
		w.start(n)
		w.refresh(n)
		charged := w.charged(north)
		So(charged, ShouldEqual, usedByAll)

		Convey("writes nothing more and spends nothing more", func() {
			w.elapsed += time.Second
			former.startRound()
			former.refresh(context.Background(), former.pages...)
			So(w.charged(north), ShouldEqual, charged)
			So(former.View(north).Available, ShouldEqual, 0)
			So(former.Ready(), ShouldBeFalse)
			So(n.holder.Ready(), ShouldBeTrue)
		})

		Convey("does not report an exhausted budget to its callers", func() {
			former.startRound()
			former.refresh(context.Background(), former.pages...)
			So(former.View(north).Remaining, ShouldEqual, propertyPrepaid-w.page(north).Accounts[north].Spent())
		})

		Convey("stops without a further charge, also after the record of its settlement has expired", func() {
			w.elapsed += 2 * endedRetention
			for _, x := range w.nodes {
				w.refresh(x)
			}
			former.startRound()
			former.refresh(context.Background(), former.pages...)
			So(former.Leave(context.Background()), ShouldBeNil)
			So(w.charged(north), ShouldEqual, charged)
		})
	})
}

// Guards against a holder that a restored page lacks taking its rows for settled and serving nothing more.
func TestHolderThatRestorationLostJoinsAgain(t *testing.T) {
	const north = "north"
	Convey("A holder that joined after the copy was made states its rows again, whoever writes the restored page first", t, func() {
		w := newWorld(DefaultPolicy())
		w.store.SetEpoch(1)
		first, lost := w.nodes[0], w.nodes[1]
		w.refresh(first)
		copied := w.store.Number()
		w.refresh(lost)
		w.useTokens(lost, north, usedBeforeStop)
		w.refresh(lost)
		w.restoreTo(copied)
		for _, p := range lost.holder.pages {
			So(lost.holder.load(context.Background(), p), ShouldBeNil)
		}
		w.refresh(first)
		w.elapsed += restateWait
		w.refresh(lost)
		So(lost.holder.Ready(), ShouldBeTrue)
		So(w.page(north).Accounts[north].Rows, ShouldContainKey, lost.holder.id)
		So(w.charged(north), ShouldEqual, usedBeforeStop)
	})
}

// Guards against pages that grow with each stop: the records of settled holders are limited in age and number.
func TestRecordsOfSettledHoldersAreLimited(t *testing.T) {
	const (
		instances  = 984
		maxBytes   = 64 << 10 // of the records of a page
		millisEach = 1_000
		firstWall  = 1_700_000_000_000
	)
	r := rand.New(rand.NewPCG(1, 0))
	holders := make([]string, 3*maxEnded)
	for i := range holders {
		holders[i] = fmt.Sprintf("front-zone-%d/01m10wfm0a%016x", i, r.Uint64())
	}
	Convey("A page whose holders were all stopped in turn", t, func() {
		p, _ := DecodePage(nil)
		for i := range instances {
			id := holders[i]
			p.Holders[id] = Report{Node: fmt.Sprintf("front-zone-%d", i)}
			p.account("north").Rows[id] = Row{Granted: 10, Spent: 1}
		}
		empty, err := (&Page{}).Encode()
		So(err, ShouldBeNil)

		Convey("at once, records each of them, and stays small", func() {
			for i := range instances {
				p.Leave(holders[i], map[string]int64{"north": 1}, false, firstWall)
			}
			So(p.Ended, ShouldHaveLength, instances)
			raw, err := p.Encode()
			So(err, ShouldBeNil)
			Printf("%d bytes with %d records, %d without; ", len(raw), instances, len(empty))
			So(len(raw), ShouldBeLessThan, maxBytes)
		})

		Convey("over a longer time, drops the old records", func() {
			for i := range instances {
				p.Leave(holders[i], map[string]int64{"north": 1}, false, firstWall+int64(i)*millisEach)
			}
			So(len(p.Ended), ShouldEqual, endedRetention.Milliseconds()/millisEach+1)
		})

		Convey("and started again and again, keeps the newest records", func() {
			for i := range holders {
				p.Leave(holders[i], nil, false, firstWall+int64(i))
			}
			So(p.Ended, ShouldHaveLength, maxEnded)
			So(p.hasEnded(holders[len(holders)-1]), ShouldBeTrue)
		})
	})
}
