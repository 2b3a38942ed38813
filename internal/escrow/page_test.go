package escrow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// laterPage is a page as a later build may write it. A row, an account and a report each have a field that this build
// does not have.
type laterPage struct {
	Accounts map[string]laterAccount `cbor:"1,keyasint,omitempty"`
	Holders  map[string]laterReport  `cbor:"2,keyasint,omitempty"`
}

type (
	laterAccount struct {
		Settled int64               `cbor:"1,keyasint,omitempty"`
		Rows    map[string]laterRow `cbor:"2,keyasint,omitempty"`
		Debt    int64               `cbor:"90,keyasint,omitempty"`
	}
	laterRow struct {
		Granted int64 `cbor:"1,keyasint,omitempty"`
		Spent   int64 `cbor:"2,keyasint,omitempty"`
		Lent    int64 `cbor:"90,keyasint,omitempty"`
	}
	laterReport struct {
		Node string `cbor:"1,keyasint"`
		Seen int64  `cbor:"90,keyasint,omitempty"`
	}
)

// TestPageOfLaterBuild guards against losing data of a later build. During an upgrade instances of both builds write
// the same pages. The next write of the earlier build removed what the later one had put into a row.
func TestPageOfLaterBuild(t *testing.T) {
	Convey("Writing a page of a later build preserves the fields that this build does not have", t, func() {
		for _, holders := range []int{2, 200} { // small, and large enough to be compressed
			later := laterPage{Accounts: map[string]laterAccount{"north": {Settled: 4, Debt: 9, Rows: map[string]laterRow{}}}, Holders: map[string]laterReport{}}
			for i := range holders {
				id := fmt.Sprintf("node-%d/1", i)
				later.Accounts["north"].Rows[id] = laterRow{Granted: 10, Spent: 3, Lent: int64(i)}
				later.Holders[id] = laterReport{Node: fmt.Sprintf("node-%d", i), Seen: 7}
			}
			raw, err := cbor.Marshal(later)
			So(err, ShouldBeNil)
			p, err := DecodePage(raw)
			So(err, ShouldBeNil)
			p.Leave("node-0/1", map[string]int64{"north": 6}, false, 0)
			p.account("north").Rows["node-1/1"] = Row{Granted: 12, Spent: 5}
			out, err := p.Encode()
			So(err, ShouldBeNil)
			if bytes.HasPrefix(out, gzipMagic) {
				out, err = decompress(out)
				So(err, ShouldBeNil)
			}
			var decoded laterPage
			So(cbor.Unmarshal(out, &decoded), ShouldBeNil)
			delete(later.Accounts["north"].Rows, "node-0/1")
			delete(later.Holders, "node-0/1")
			later.Accounts["north"].Rows["node-1/1"] = laterRow{Granted: 12, Spent: 5, Lent: 1}
			account := later.Accounts["north"]
			account.Settled += 6
			later.Accounts["north"] = account
			So(decoded, ShouldResemble, later)
		}
	})
}

// TestInvalidPage guards against invalid pages. A page with an account without a value ended each instance that read
// it; a negative amount would have released tokens.
func TestInvalidPage(t *testing.T) {
	Convey("A page that no holder can have written is rejected", t, func() {
		type raw = map[int]any
		row := func(key int, n int64) raw {
			return raw{1: map[string]any{"north": raw{2: map[string]any{"node-1/1": raw{key: n}}}}}
		}
		for _, page := range []raw{
			{1: map[string]any{"north": nil}},
			{1: map[string]any{"north": raw{1: -5}}},
			{1: map[string]any{"north": raw{3: -5}}},
			row(1, -1), row(2, -1), row(3, -1), row(4, -1), row(5, -1),
		} {
			b, err := cbor.Marshal(page)
			So(err, ShouldBeNil)
			_, err = DecodePage(b)
			So(errors.Is(err, ErrInvalidPage), ShouldBeTrue)
		}
		b, err := cbor.Marshal(row(1, 7))
		So(err, ShouldBeNil)
		p, err := DecodePage(b)
		So(err, ShouldBeNil)
		So(p.Accounts["north"].Committed(), ShouldEqual, 7)
	})
}

// TestAgeAcrossBuilds guards against underestimating ages across builds. An earlier build reports by the steady clock
// under the machine's boot ID, this one by a clock that includes suspensions. If a machine had been suspended for less
// than a wall clock may step, one of the builds underestimated the age of the other's report by that time: tokens that
// may have been spent became available again.
func TestAgeAcrossBuilds(t *testing.T) {
	Convey("No build underestimates the age of a report by another build's clock", t, func() {
		raw, err := os.ReadFile(bootIDPath)
		So(err, ShouldBeNil)
		const suspended, elapsed = 2500 * time.Millisecond, 5 * time.Second
		at := func(boot string, clock time.Duration) Report {
			return Report{Node: "node", Boot: boot, Clock: clock.Milliseconds(), Wall: (time.Hour + clock).Milliseconds()}
		}
		earlierBuild := func(t time.Duration) Report {
			r := at(strings.TrimSpace(string(raw)), t)
			r.Clock -= suspended.Milliseconds()
			return r
		}
		thisBuild := func(t time.Duration) Report { return at(MachineClock().Boot(), t) }
		for _, c := range []struct{ then, now Report }{
			{earlierBuild(time.Minute), thisBuild(time.Minute + elapsed)}, // an upgrade
			{thisBuild(time.Minute), earlierBuild(time.Minute + elapsed)}, // a rollback: the earlier build uses the same rules
			{thisBuild(time.Minute), thisBuild(time.Minute + elapsed)},
		} {
			age, known := ageOf(c.then, c.now)
			So(known, ShouldBeTrue)
			So(age, ShouldBeGreaterThanOrEqualTo, elapsed)
		}
	})
}

func TestSettlePredecessors(t *testing.T) {
	const north = "north"
	report := func(at time.Duration) Report {
		return Report{Node: "node", Boot: "one", Clock: at.Milliseconds(), Wall: 1_000_000 + at.Milliseconds(), Count: 1}
	}
	page := func() *Page {
		p, _ := DecodePage(nil)
		p.Holders["node/1"] = report(10 * time.Second)
		p.account(north).Rows["node/1"] = Row{Granted: 1000, Spent: 100, Burst: 50, Rate: 200}
		return p
	}

	Convey("What a holder that has ended may have spent", t, func() {
		Convey("depends on the time from its report to the start of its successor", func() {
			p := page()
			settlements := p.SettlePredecessors("node/2", report(10*time.Second+Grace+time.Second))
			So(settlements[0].Settled, ShouldEqual, 100+50+200)
			So(settlements[0].Unproven(), ShouldEqual, 50+200)
			So(p.Accounts[north].Unproven, ShouldEqual, 50+200)
			So(p.Accounts[north].Settled, ShouldEqual, settlements[0].Settled)
			So(p.Holders, ShouldBeEmpty)
		})

		Convey("is its whole grant if the clocks do not give that time", func() {
			p := page()
			So(p.SettlePredecessors("node/2", Report{Node: "node"})[0].Settled, ShouldEqual, 1000)
		})

		Convey("is more across a power loss, by as much as a wall clock may step", func() {
			p := page()
			other := report(10*time.Second + Grace)
			other.Boot, other.Clock = "two", 5
			So(p.SettlePredecessors("node/2", other)[0].Settled, ShouldEqual, 100+50+200*int64(ClockError/time.Second))
		})
	})

	Convey("Across a power loss the fleet's time gives a better bound than one machine's clock", t, func() {
		p := page()
		then := report(10 * time.Second)
		then.FleetTime = 5_000_000
		p.Holders["node/1"] = then
		start := report(10*time.Second + Grace)
		start.Boot, start.Clock = "two", 5
		const seconds = 4
		start.FleetTime = then.FleetTime + Grace.Milliseconds() + seconds*1000
		spent := func(age time.Duration) int64 {
			return Row{Granted: 1000, Spent: 100, Burst: 50, Rate: 200}.Ceiling(age)
		}

		Convey("where the machine's wall clock was set back", func() {
			So(p.SettlePredecessors("node/2", start)[0].Settled, ShouldEqual, spent(Grace+seconds*time.Second+FleetTimeError))
		})

		Convey("unless the machine's wall clock gives a longer time", func() {
			start.Wall = then.Wall + (Grace + 2*seconds*time.Second).Milliseconds()
			So(p.SettlePredecessors("node/2", start)[0].Settled, ShouldEqual, spent(Grace+2*seconds*time.Second))
		})

		Convey("and settlement waits for it where it will be known soon", func() {
			start.FleetTime, start.FleetTimePending = 0, true
			So(p.SettlePredecessors("node/2", start), ShouldBeEmpty)
			So(newGranter(p).unsettled("node/2", "node"), ShouldBeTrue)
			start.FleetTimePending = false
			So(p.SettlePredecessors("node/2", start)[0].Settled, ShouldEqual, spent(Grace+ClockError))
			So(newGranter(p).unsettled("node/2", "node"), ShouldBeFalse)
		})
	})

	Convey("A successor settles once it has the fleet's time, through its leader or by itself", t, func() {
		for _, link := range []int{linkNone, linkUp} {
			w := newWorld(DefaultPolicy())
			leader, n := w.nodes[0], w.nodes[1]
			leader.hasFleetTime, n.hasFleetTime, n.link = true, true, link
			w.refresh(leader)
			w.refresh(n)
			old := n.holder.id
			n.hasFleetTime = false
			w.powerLoss(n)
			w.refresh(n)
			So(n.holder.Ready(), ShouldBeTrue)
			So(w.page(north).Holders, ShouldContainKey, old)
			n.hasFleetTime = true
			w.elapsed += time.Second
			w.refresh(n)
			So(w.page(north).Holders, ShouldNotContainKey, old)
		}
	})

	Convey("A successor that joins late settles by its start, not by its joining", t, func() {
		w := newWorld(DefaultPolicy())
		n := w.nodes[0]
		w.refresh(n)
		key := n.holder.pageOf(north).key
		entry, _, _ := w.store.Read(context.Background(), key)
		p, _ := DecodePage(entry.Data)
		before := Row{Granted: 9000, Burst: 100, Rate: 500}
		p.Accounts[north].Rows[n.holder.id] = before
		raw, _ := p.Encode()
		w.store.Put(key, raw)
		w.start(n)
		w.elapsed += 9 * time.Second
		w.refresh(n)
		So(before.Ceiling(9*time.Second), ShouldEqual, 100+7*500)
		So(w.page(north).Accounts[north].Settled, ShouldEqual, 100)
	})
}

func TestPageOfManyHolders(t *testing.T) {
	Convey("A page of many holders is small, and decodes to what was encoded", t, func() {
		const holders = 300
		p, _ := DecodePage(nil)
		for i := range holders {
			id := fmt.Sprintf("front-zone-%d/01m10wfm0akwscr9rgfzvn%04d", i, i)
			p.Holders[id] = Report{
				Node: fmt.Sprintf("front-zone-%d", i), Boot: "0b9c7d4e-5a0e-4a53-9a0e-5f3f8a3c7e11", Clock: int64(1000 * i), Count: int64(i), Wall: 1_700_000_000_000,
			}
			p.account("north").Rows[id] = Row{Granted: int64(i), Spent: 1}
		}
		raw, err := p.Encode()
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 100*holders)
		read, err := DecodePage(raw)
		So(err, ShouldBeNil)
		So(read, ShouldResemble, p)
		_, err = DecodePage(raw[:len(raw)/2])
		So(err, ShouldNotBeNil)
	})
}
