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

// ReferenceInstancesPerZone is the number of instances in one zone at the reference size: 380 nodes in 25 zones.
const ReferenceInstancesPerZone = 15

// ControlResult is the cost of membership and configuration for one instance.
type ControlResult struct {
	CPU       Slope   `json:"cpu_share"`    // share of a core, by instances in the zone
	Bytes     Slope   `json:"bytes_per_s"`  // bytes sent, by instances in the zone
	Memory    Slope   `json:"memory_bytes"` // memory of one instance's view and connections, by instances in the zone
	FleetCPU  Slope   `json:"fleet_cpu"`    // share of a core, by listed instances in other zones
	CoreShare float64 `json:"core_share_at_size"`
}

// fixedList is an instance list that never changes.
type fixedList []external.Instance

// Instances implements external.InstanceList.
func (l fixedList) Instances(context.Context) ([]external.Instance, error) { return l, nil }

const (
	controlTime      = 1500 * time.Millisecond
	endpointsPerZone = 52 // at the reference size
)

// measureZone measures a zone of n instances that exchange heartbeats, with remote instances in other zones that are only
// listed. The results are per instance.
func measureZone(n, remote int) (cpuShare, bytesPerS, memory float64, err error) {
	ca, err := mesh.NewAuthority()
	if err != nil {
		return 0, 0, 0, err
	}
	before := memoryInUse()
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
	for i := range remote {
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
	time.Sleep(time.Second) // until the connections are established
	startCPU, startBytes, start := cpuTime(), totalBytesSent(ts), time.Now()
	time.Sleep(controlTime)
	took := time.Since(start).Seconds()
	cpuShare = (cpuTime() - startCPU).Seconds() / took / float64(n)
	bytesPerS = float64(totalBytesSent(ts)-startBytes) / took / float64(n)
	return cpuShare, bytesPerS, (memoryInUse() - before) / float64(n), nil
}

// busyEndpoints returns the requests in flight that a heartbeat reports when every endpoint of the zone is in use.
func busyEndpoints() map[string]int {
	out := make(map[string]int, endpointsPerZone)
	for i := range endpointsPerZone {
		out[fmt.Sprintf("engine-%02d", i)] = 3
	}
	return out
}

// totalBytesSent returns the number of bytes that all transports have sent.
func totalBytesSent(ts []*mesh.Transport) int64 {
	var n int64
	for _, t := range ts {
		n += t.BytesSent()
	}
	return n
}

// MeasureControl measures zones of several sizes, and one zone in fleets of several sizes.
func MeasureControl(context.Context) (*ControlResult, error) {
	res := &ControlResult{}
	var cpus, bytes, memory, fleet []Point
	for _, n := range []int{5, 10, 15, 20} {
		c, b, m, err := measureZone(n, 0)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		cpus, bytes, memory = append(cpus, Point{x, c}), append(bytes, Point{x, b}), append(memory, Point{x, m})
	}
	for _, remote := range []int{0, 45, 180, 365} {
		c, _, _, err := measureZone(ReferenceInstancesPerZone, remote)
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, Point{float64(remote), c})
	}
	res.CPU = fit("control, processor", "instances in the zone", "share of a core", ReferenceInstancesPerZone, cpus)
	res.Bytes = fit("control, sent", "instances in the zone", "bytes/s", ReferenceInstancesPerZone, bytes)
	res.Memory = fit("control, memory", "instances in the zone", "bytes", ReferenceInstancesPerZone, memory)
	res.FleetCPU = fit("control, processor by fleet", "instances in other zones", "share of a core", 365, fleet)
	res.CoreShare = res.CPU.AtSize
	return res, nil
}
