package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// TestFormats checks the encodings that instances of other builds read.
func TestFormats(t *testing.T) {
	formattest.Check[ConnectRequest](t, "connect-request")
}

// world is a fleet of monitors and the endpoints of one service.
type world struct {
	endpoints []pool.Endpoint
	nodes     []*node
	dialDelay time.Duration // until a lost connection fails; 0: it is refused

	mu     sync.Mutex
	exited map[string]bool // endpoints
}

// node is one instance.
type node struct {
	world   *world
	id      string
	monitor *Monitor
	server  *Server
	router  *mesh.Router

	mu       sync.Mutex
	cut      func(endpoint string) bool
	isolated bool // it reaches no other instance
	dials    int
	asked    int
	changes  []Change
	delays   []time.Duration
	reset    int // endpoints whose state was cleared
}

const testService = "models"

func newWorld(endpoints, nodes int) *world {
	w := &world{exited: make(map[string]bool)}
	for i := range endpoints {
		id := fmt.Sprintf("engine-%02d", i)
		w.endpoints = append(w.endpoints, pool.Endpoint{ID: id, Service: testService, Addr: id})
	}
	for i := range nodes {
		n := &node{world: w, id: fmt.Sprintf("node-%02d", i), router: mesh.NewRouter(), cut: func(string) bool { return false }}
		next := i
		n.monitor = New(n, n, n, OnChange(n.changed), OnDelay(n.delayed), WithRandom(func(k int) int { next++; return next % k }))
		n.server = Serve(n.router, n.monitor, n, n, WithLimit(3))
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) close() {
	for _, n := range w.nodes {
		_ = n.monitor.Close()
	}
}

func (w *world) exit(endpoints ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range endpoints {
		w.exited[id] = true
	}
}

func (n *node) changed(c Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changes = append(n.changes, c)
}

func (n *node) delayed(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays = append(n.delays, d)
}

// lose cuts the node from the endpoints for which cut returns true.
func (n *node) lose(cut func(endpoint string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// counts returns how many connections the node has tried to establish itself, and through other instances.
func (n *node) counts() (dials, asked int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials, n.asked
}

func everything(string) bool { return true }

func nothing(string) bool { return false }

// dial connects to an endpoint as the network allows.
func (n *node) dial(ctx context.Context, id string) error {
	n.mu.Lock()
	n.dials++
	cut := n.cut(id)
	n.mu.Unlock()
	n.world.mu.Lock()
	exited := n.world.exited[id]
	n.world.mu.Unlock()
	if !cut && !exited {
		return nil
	}
	if n.world.dialDelay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(n.world.dialDelay):
		}
	}
	return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// Probe implements Client.
func (n *node) Probe(ctx context.Context, addr string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.dial(ctx, addr)
}

// CloseIdle implements Client.
func (n *node) CloseIdle(string) {}

// Connect implements Connector.
func (n *node) Connect(ctx context.Context, addr string) (net.Conn, error) {
	if err := n.dial(ctx, addr); err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// Stalled implements Endpoints.
func (n *node) Stalled(time.Duration) []string { return nil }

// ReceivedSince implements Endpoints.
func (n *node) ReceivedSince(string, time.Time) bool { return false }

// ProbeTargets implements Endpoints.
func (n *node) ProbeTargets(_ string, k int, without string) []pool.Endpoint {
	var out []pool.Endpoint
	for _, e := range n.world.endpoints {
		if e.ID != without && len(out) < k {
			out = append(out, e)
		}
	}
	return out
}

// Lookup implements Endpoints and Directory.
func (n *node) Lookup(id string) (pool.Endpoint, bool) {
	for _, e := range n.world.endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return pool.Endpoint{}, false
}

// Endpoints implements Endpoints.
func (n *node) Endpoints(string) []pool.Endpoint { return n.world.endpoints }

// ResetPath implements Endpoints.
func (n *node) ResetPath(ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reset += len(ids)
}

// Forwarders implements Peers.
func (n *node) Forwarders(k int) []mesh.Peer {
	var out []mesh.Peer
	for _, x := range n.world.nodes {
		if x != n && len(out) < k {
			out = append(out, mesh.Peer{ID: x.id, Addr: x.id})
		}
	}
	return out
}

// Tunnel implements Peers.
func (n *node) Tunnel(ctx context.Context, to mesh.Peer, req ConnectRequest) (net.Conn, error) {
	n.mu.Lock()
	n.asked++
	isolated := n.isolated
	n.mu.Unlock()
	if isolated {
		<-ctx.Done()
		return nil, mesh.ErrNoReply
	}
	for _, x := range n.world.nodes {
		if x.id == to.ID {
			return x.server.handle(ctx, mesh.Peer{ID: n.id}, req)
		}
	}
	return nil, mesh.ErrUnreachable
}

// verify checks the paths after an endpoint could not be reached, and waits until all other instances have responded:
// their connections count towards the limit of those that they carry.
func (n *node) verify(t *testing.T, endpoint string) State {
	state := n.monitor.Verify(t.Context(), testService, endpoint)
	synctest.Wait()
	return state
}

// run starts the periodic work of the monitors, which ends with the returned function.
func (w *world) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for _, n := range w.nodes {
		g.Go(func() { _ = n.monitor.Run(ctx) })
	}
	return func() {
		cancel()
		g.Wait()
	}
}

// inBubble runs a test in fake time.
func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func TestPathLost(t *testing.T) {
	for name, delay := range map[string]time.Duration{"refused": 0, "no response": time.Hour} {
		inBubble(t, func(t *testing.T) {
			Convey("An instance that reaches no endpoint connects through another one until it reaches them again: "+name, t, func() {
				w := newWorld(6, 3)
				w.dialDelay = delay
				stop := w.run()
				n := w.nodes[0]
				n.lose(everything)
				So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
				So(n.monitor.State(testService, "engine-05"), ShouldEqual, Forwarded)
				So(n.reset, ShouldEqual, 6)
				conn, via, err := n.monitor.Connect(t.Context(), testService, "engine-03")
				So(err, ShouldBeNil)
				So(via, ShouldNotEqual, n.id)
				So(conn.Close(), ShouldBeNil)
				n.lose(nothing)
				time.Sleep(time.Second)
				So(n.monitor.State(testService, "engine-05"), ShouldEqual, Direct)
				So(len(n.changes), ShouldEqual, 2)
				stop()
			})
		})
	}
}

func TestPathMostlyLost(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("An instance that reaches one endpoint of many connects to the others through another instance", t, func() {
			w := newWorld(18, 3)
			stop := w.run()
			n := w.nodes[0]
			n.lose(func(id string) bool { return id != "engine-01" })
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			time.Sleep(5 * time.Second)
			So(n.monitor.State(testService, "engine-17"), ShouldEqual, Forwarded)
			So(len(n.changes), ShouldEqual, 1)
			stop()
		})
	})
}

func TestOneEndpointCut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("If only one endpoint is out of reach, it alone is connected to through another instance", t, func() {
			w := newWorld(6, 3)
			stop := w.run()
			n := w.nodes[0]
			n.lose(func(id string) bool { return id == "engine-04" })
			n.verify(t, "engine-04")
			synctest.Wait()
			So(n.monitor.State(testService, "engine-04"), ShouldEqual, Forwarded)
			So(n.monitor.State(testService, "engine-00"), ShouldEqual, Direct)
			So(n.changes, ShouldBeEmpty)
			n.lose(nothing)
			time.Sleep(time.Second)
			So(n.monitor.State(testService, "engine-04"), ShouldEqual, Direct)
			stop()
		})
	})
}

func TestEndpointsExited(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("An endpoint that has exited is no lost path, even if it does not respond", t, func() {
			w := newWorld(6, 3)
			w.dialDelay = time.Hour
			w.exit("engine-04")
			n := w.nodes[0]
			began := time.Now()
			So(n.verify(t, "engine-04"), ShouldEqual, Direct)
			So(time.Since(began), ShouldBeLessThan, probeTimeout+time.Millisecond) // it does not wait for other instances
			time.Sleep(2 * time.Second)
			So(n.monitor.State(testService, "engine-04"), ShouldEqual, Direct)
			w.close()
		})
		Convey("If all endpoints have exited, no instance forwards, and requests can be rejected at once until they are back", t, func() {
			w := newWorld(3, 4)
			stop := w.run()
			w.exit("engine-00", "engine-01", "engine-02")
			for _, n := range w.nodes {
				So(n.verify(t, "engine-00"), ShouldEqual, Lost)
			}
			dials, asked := w.nodes[0].counts()
			time.Sleep(10 * time.Second)
			dialsLater, askedLater := w.nodes[0].counts()
			So(dialsLater-dials, ShouldBeLessThanOrEqualTo, 10*5*probeCount)
			So(askedLater-asked, ShouldBeLessThanOrEqualTo, 10*5*searchCount)
			w.mu.Lock()
			clear(w.exited)
			w.mu.Unlock()
			time.Sleep(time.Second)
			for _, n := range w.nodes {
				So(n.monitor.ServiceState(testService), ShouldEqual, Direct)
			}
			stop()
		})
	})
}

// Guards against all requests being rejected while most, but not all, endpoints have exited.
func TestPathIsNotLostWhileAnEndpointIsReached(t *testing.T) {
	exited := []string{"engine-00", "engine-01", "engine-02", "engine-03", "engine-04", "engine-05"}
	inBubble(t, func(t *testing.T) {
		Convey("A path is not lost if endpoints beyond those of the first probe are reached", t, func() {
			w := newWorld(8, 3)
			stop := w.run()
			w.exit(exited...)
			for _, n := range w.nodes {
				So(n.verify(t, "engine-00"), ShouldEqual, Direct)
				So(n.changes, ShouldBeEmpty)
			}
			stop()
		})
		Convey("nor if that shows only after the instances that forwarded have stopped", t, func() {
			w := newWorld(8, 3)
			stop := w.run()
			n := w.nodes[0]
			n.lose(everything)
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			w.exit(exited...)
			n.lose(nothing)
			for _, x := range w.nodes[1:] {
				x.server.Leave()
			}
			for range maxForwardTries {
				_, _, _ = n.monitor.Connect(t.Context(), testService, "engine-07")
			}
			time.Sleep(time.Second)
			So(n.monitor.ServiceState(testService), ShouldEqual, Direct)
			for _, c := range n.changes {
				So(c.To, ShouldNotEqual, Lost)
			}
			stop()
		})
		Convey("nor if one of the endpoints that were not reached has exited meanwhile, and the others are reached", t, func() {
			w := newWorld(3, 2)
			stop := w.run()
			n := w.nodes[0]
			n.lose(everything)
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			w.exit("engine-02")
			n.lose(nothing)
			w.nodes[1].server.Leave()
			_, _, _ = n.monitor.Connect(t.Context(), testService, "engine-01")
			time.Sleep(time.Second)
			So(n.monitor.ServiceState(testService), ShouldEqual, Direct)
			for _, c := range n.changes {
				So(c.To, ShouldNotEqual, Lost)
			}
			stop()
		})
		Convey("The number of further probes is limited, and they are not repeated while the path is lost", t, func() {
			w := newWorld(100, 2)
			stop := w.run()
			for _, e := range w.endpoints {
				w.exit(e.ID)
			}
			n := w.nodes[0]
			So(n.verify(t, "engine-00"), ShouldEqual, Lost)
			dials, _ := n.counts()
			So(dials, ShouldBeLessThanOrEqualTo, probeCount+maxFurtherProbes+searchCount) // the last are for the other instance
			time.Sleep(10 * time.Second)
			later, _ := n.counts()
			So(later-dials, ShouldBeLessThanOrEqualTo, 10*5*probeCount)
			stop()
		})
	})
}

func TestForwarderWithoutPath(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("An instance that has lost its own path forwards nothing, and its refusal does not mean that an endpoint has exited", t, func() {
			w := newWorld(6, 4)
			for _, n := range w.nodes[:3] {
				n.lose(everything)
			}
			n := w.nodes[0]
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			_, err := w.nodes[1].server.handle(t.Context(), mesh.Peer{}, ConnectRequest{Service: testService, Endpoint: "engine-00"})
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeUnavailable)
			_, via, err := n.monitor.Connect(t.Context(), testService, "engine-00")
			So(err, ShouldBeNil)
			So(via, ShouldEqual, "node-03")
			reached, known := n.monitor.Reached(testService, "engine-01")
			So(reached && known, ShouldBeTrue)
			w.nodes[3].lose(everything)
			_, known = n.monitor.Reached(testService, "engine-01")
			So(known, ShouldBeFalse)
			w.close()
		})
	})
}

func TestEndpointExitedBehindCut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("An endpoint that has exited while the path is lost is reported as such by the instances that forward", t, func() {
			w := newWorld(6, 3)
			n := w.nodes[0]
			n.lose(everything)
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			w.exit("engine-05")
			_, _, err := n.monitor.Connect(t.Context(), testService, "engine-05")
			So(errors.Is(err, ErrEndpoint), ShouldBeTrue)
			reached, known := n.monitor.Reached(testService, "engine-05")
			So(reached, ShouldBeFalse)
			So(known, ShouldBeTrue)
			w.close()
		})
	})
}

func TestServerLimits(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("An instance carries a limited number of connections; more are spread over the others, and then refused at once", t, func() {
			w := newWorld(6, 3)
			stop := w.run()
			n := w.nodes[0]
			n.lose(everything)
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			time.Sleep(time.Second)
			perPeer := make(map[string]int)
			conns := make([]net.Conn, 0, 6)
			for range 6 {
				conn, via, err := n.monitor.Connect(t.Context(), testService, "engine-01")
				So(err, ShouldBeNil)
				perPeer[via]++
				conns = append(conns, conn)
			}
			So(perPeer, ShouldResemble, map[string]int{"node-01": 3, "node-02": 3})
			began := time.Now()
			_, _, err := n.monitor.Connect(t.Context(), testService, "engine-01")
			So(errors.Is(err, ErrNoForwarder), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, 0)
			for _, c := range conns {
				So(c.Close(), ShouldBeNil)
			}
			time.Sleep(time.Second)
			conn, _, err := n.monitor.Connect(t.Context(), testService, "engine-01")
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			stop()
		})
		Convey("An instance that stops takes no more connections and waits for those that it carries", t, func() {
			w := newWorld(6, 3)
			n := w.nodes[0]
			n.lose(everything)
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			conn, via, err := n.monitor.Connect(t.Context(), testService, "engine-01")
			So(err, ShouldBeNil)
			peer := w.nodes[1]
			if via != peer.id {
				peer = w.nodes[2]
			}
			drained := make(chan struct{})
			go func() { peer.server.Drain(t.Context()); close(drained) }()
			time.Sleep(time.Second)
			select {
			case <-drained:
				So("drained with an open connection", ShouldBeEmpty)
			default:
			}
			_, err = peer.server.handle(t.Context(), mesh.Peer{}, ConnectRequest{Service: testService, Endpoint: "engine-01"})
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeStopping)
			So(conn.Close(), ShouldBeNil)
			<-drained
			w.close()
		})
	})
}

func TestServerServesOnlyKnownEndpoints(t *testing.T) {
	Convey("An instance connects others only to endpoints that it knows itself, by its own record of the address", t, func() {
		w := newWorld(2, 2)
		for _, req := range []ConnectRequest{{Service: testService, Endpoint: "10.0.0.1:22"}, {Service: "other", Endpoint: "engine-00"}, {}} {
			_, err := w.nodes[1].server.handle(t.Context(), mesh.Peer{}, req)
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeNotFound)
		}
		w.close()
	})
}

func TestCongestedLink(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("If neither endpoints nor instances respond, the delay is reported as one of this instance's link", t, func() {
			w := newWorld(6, 3)
			w.dialDelay = time.Hour
			n := w.nodes[0]
			n.isolated = true
			n.lose(everything)
			n.verify(t, "engine-00")
			time.Sleep(time.Second)
			So(n.monitor.ServiceState(testService), ShouldEqual, Direct)
			So(len(n.delays), ShouldEqual, probeCount)
			So(n.delays[0], ShouldEqual, forwardTimeout)
			w.close()
		})
		Convey("If other instances respond, it is not", t, func() {
			w := newWorld(6, 3)
			w.dialDelay = time.Hour
			for _, n := range w.nodes {
				n.lose(everything)
			}
			n := w.nodes[0]
			n.verify(t, "engine-00")
			time.Sleep(2 * time.Second)
			So(n.monitor.ServiceState(testService), ShouldEqual, Lost)
			So(n.delays, ShouldBeEmpty)
			w.close()
		})
	})
}

func TestForwarderWithPartOfThePath(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		Convey("The only instance that can forward is used although it has lost its path to one endpoint", t, func() {
			w := newWorld(2, 2)
			stop := w.run()
			n, peer := w.nodes[0], w.nodes[1]
			n.lose(everything)
			peer.lose(func(id string) bool { return id == "engine-00" })
			peer.verify(t, "engine-00")
			peer.monitor.mu.Lock()
			peer.monitor.services[testService].cut["engine-00"] = true
			peer.monitor.mu.Unlock()
			So(n.verify(t, "engine-00"), ShouldEqual, Forwarded)
			for range 10 {
				_, _, err := n.monitor.Connect(t.Context(), testService, "engine-00")
				So(err, ShouldNotBeNil)
				conn, _, err := n.monitor.Connect(t.Context(), testService, "engine-01")
				So(err, ShouldBeNil)
				So(conn.Close(), ShouldBeNil)
				time.Sleep(300 * time.Millisecond)
			}
			stop()
		})
	})
}
