package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// LetterPerZone is the number of instances in one zone at the letter's size: 380 nodes in 25 zones.
const LetterPerZone = 15

// ControlResult is what membership and configuration cost one instance.
type ControlResult struct {
	CPU       Slope   `json:"cpu_share"`    // of a core, by instances in the zone
	Bytes     Slope   `json:"bytes_per_s"`  // sent, by instances in the zone
	Memory    Slope   `json:"memory_bytes"` // of one instance's view and links, by instances in the zone
	FleetCPU  Slope   `json:"fleet_cpu"`    // of a core, by listed instances in other zones
	CoreShare float64 `json:"core_share_at_size"`
}

// fixedList is an instance list that never changes.
type fixedList []external.Instance

// Instances implements external.InstanceList.
func (l fixedList) Instances(context.Context) ([]external.Instance, error) { return l, nil }

const (
	controlTime = 1500 * time.Millisecond
	endpoints   = 52 // of one zone at the letter's size
)

// controlRun is a zone of n instances that beat, and far instances that are only listed.
func controlRun(n, far int) (cpuShare, bytesPerS, memory float64, err error) {
	ca, err := mesh.NewAuthority()
	if err != nil {
		return 0, 0, 0, err
	}
	before := inUse()
	var ts []*mesh.Transport
	var routers []*mesh.Router
	var l fixedList
	for i := range n {
		id := fmt.Sprintf("i-%02d", i)
		cert, key, err := ca.Issue(id)
		if err != nil {
			return 0, 0, 0, err
		}
		cfg, err := mesh.TLS(ca.PEM(), cert, key)
		if err != nil {
			return 0, 0, 0, err
		}
		r := mesh.NewRouter()
		t, err := mesh.Listen(mesh.Peer{ID: id, Zone: "z", Addr: "127.0.0.1:0", Incarnation: "x"}, cfg, r)
		if err != nil {
			return 0, 0, 0, err
		}
		defer func() { _ = t.Close() }()
		ts, routers = append(ts, t), append(routers, r)
		l = append(l, external.Instance{ID: id, Zone: "z", Addr: t.Self().Addr, State: external.StateLive})
	}
	for i := range far {
		l = append(l, external.Instance{ID: fmt.Sprintf("far-%03d", i), Zone: fmt.Sprintf("y%02d", i%24), Addr: "127.0.0.1:9", State: external.StateLive})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, t := range ts {
		v := member.New(t.Self(), l, t, routers[i], member.WithInFlight(busyEndpoints))
		wg.Go(func() { _ = v.Run(ctx) })
	}
	time.Sleep(time.Second) // let the links stand
	startCPU, startBytes, start := cpu(), sent(ts), time.Now()
	time.Sleep(controlTime)
	took := time.Since(start).Seconds()
	cpuShare = (cpu() - startCPU).Seconds() / took / float64(n)
	bytesPerS = float64(sent(ts)-startBytes) / took / float64(n)
	return cpuShare, bytesPerS, (inUse() - before) / float64(n), nil
}

// busyEndpoints is a heartbeat's report when every endpoint of the zone is in use.
func busyEndpoints() map[string]int {
	out := make(map[string]int, endpoints)
	for i := range endpoints {
		out[fmt.Sprintf("engine-%02d", i)] = 3
	}
	return out
}

func sent(ts []*mesh.Transport) int64 {
	var n int64
	for _, t := range ts {
		n += t.BytesSent()
	}
	return n
}

// MeasureControl measures zones of several sizes, and fleets of several sizes around one zone.
func MeasureControl(context.Context) (*ControlResult, error) {
	res := &ControlResult{}
	var cpus, bytes, memory, fleet []Point
	for _, n := range []int{5, 10, 15, 20} {
		c, b, m, err := controlRun(n, 0)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		cpus, bytes, memory = append(cpus, Point{x, c}), append(bytes, Point{x, b}), append(memory, Point{x, m})
	}
	for _, far := range []int{0, 45, 180, 365} {
		c, _, _, err := controlRun(LetterPerZone, far)
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, Point{float64(far), c})
	}
	res.CPU = fit("control, processor", "instances in the zone", "share of a core", LetterPerZone, cpus)
	res.Bytes = fit("control, sent", "instances in the zone", "bytes/s", LetterPerZone, bytes)
	res.Memory = fit("control, memory", "instances in the zone", "bytes", LetterPerZone, memory)
	res.FleetCPU = fit("control, processor by fleet", "instances in other zones", "share of a core", 365, fleet)
	res.CoreShare = res.CPU.AtSize
	return res, nil
}
