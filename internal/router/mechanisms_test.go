package router

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// minimalSettings is a settings file with only the required fields; %s stands for the disabled mechanisms.
const minimalSettings = `{"instance":{"id":"a-1","zone":"a"},"callers":{"listen":"127.0.0.1:1"},"probes":{"listen":"127.0.0.1:2"},
	"store":{"address":"127.0.0.1:3"},"without":[%s]}`

func TestWithout(t *testing.T) {
	Convey("Each mechanism can be disabled by its name, and other names are rejected", t, func() {
		all, err := Decode(fmt.Appendf(nil, minimalSettings, ""))
		So(err, ShouldBeNil)
		for _, m := range []Mechanism{
			Affinity, Loads, FleetTime, Loans, Pools, Leaders, CrowdedLink, Ranks, Patience, Retries, Health, Scarcity,
		} {
			s, err := Decode(fmt.Appendf(nil, minimalSettings, `"`+string(m)+`"`))
			So(err, ShouldBeNil)
			So(s.disabled(m), ShouldBeTrue)
			So(all.disabled(m), ShouldBeFalse)
		}
		_, err = Decode(fmt.Appendf(nil, minimalSettings, `"gravity"`))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "without")
	})

	Convey("Disabling a mechanism changes only its own options", t, func() {
		off := func(m Mechanism) *Settings { return &Settings{Without: []Mechanism{m}} }
		on := &Settings{}
		So(off(Patience).poolPolicy(), ShouldNotResemble, on.poolPolicy())
		So(off(Health).poolPolicy(), ShouldNotResemble, on.poolPolicy())
		So(off(Ranks).escrowPolicy(), ShouldNotResemble, on.escrowPolicy())
		So(off(Scarcity).escrowPolicy(), ShouldNotResemble, on.escrowPolicy())
		So(off(CrowdedLink).pressurePolicy(), ShouldNotResemble, on.pressurePolicy())
		So(off(Loans).escrowPolicy(), ShouldResemble, on.escrowPolicy())
		So(len(off(Leaders).peersOptions()), ShouldEqual, len(on.peersOptions())+1)
		So(len(off(Pools).peersOptions()), ShouldEqual, len(on.peersOptions())+1)
		So(len(off(Loans).fleetOptions()), ShouldEqual, len(on.fleetOptions())+1)
		So(len(off(Affinity).relayOptions()), ShouldEqual, len(on.relayOptions())+1)
		ratio, slack := off(Retries).retryBudget()
		So(ratio+float64(slack), ShouldEqual, 0)
	})
}
