//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes the record of a run: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Times of the platform, as DEPLOY.md and PROTOCOL.md state them.
const (
	graceS        = 8
	restartDelay  = 500 * time.Millisecond
	probeInterval = time.Second
	probeTimeout  = time.Second
	maxMisses     = 2
)

// node is a machine that runs one router process. It has an address of its own in the loopback range.
type node struct {
	name, zone, ip string
	settings       string // path of its settings file
	log            *recorder
	out            *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
	stopping bool // the platform takes the machine down for good
	misses   int
	began    time.Time // when the present process was started
	exited   chan struct{}
}

// Ports of a node; they are alike on all nodes.
const (
	frontPort     = "8227"
	readinessPort = "8220"
	metricsPort   = "9464" // as the deploy file states it
	peerPort      = "7340" // the first of portRange
)

// free reports whether nothing uses the ports of a node.
func (n *node) free() bool {
	for _, port := range []string{frontPort, readinessPort, metricsPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(n.ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	c, err := net.ListenPacket("udp", net.JoinHostPort(n.ip, peerPort))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (n *node) front() string     { return net.JoinHostPort(n.ip, frontPort) }
func (n *node) readiness() string { return net.JoinHostPort(n.ip, readinessPort) }

// fleet is the platform's view of all nodes.
type fleet struct {
	log     *recorder
	dir     string
	program string
	store   *store
	nodes   []*node
	writes  int // provider.writes_per_s in the settings files
	client  *http.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// newFleet makes the nodes. Nothing runs yet. net3 is the first three numbers of their addresses.
func newFleet(log *recorder, dir, program, net3 string, zones []string, perZone, writes int) *fleet {
	f := &fleet{log: log, dir: dir, program: program, writes: writes, client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range perZone {
		for z, zone := range zones {
			n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", net3, 10*(z+1)+i), log: log, misses: maxMisses}
			n.settings = filepath.Join(dir, n.name+".json")
			f.nodes = append(f.nodes, n)
		}
	}
	return f
}

// free reports whether nothing uses the ports of the nodes.
func (f *fleet) free() bool {
	for _, n := range f.nodes {
		if !n.free() {
			return false
		}
	}
	return true
}

// writeSettings writes a node's settings file. bootstrap is set at the first start of the whole system only.
func (f *fleet) writeSettings(n *node, bootstrap bool) error {
	zones := make(map[string]string)
	for _, x := range f.nodes {
		zones[x.zone] = "greater-cairo"
	}
	set := map[string]any{
		"node": n.name, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ip": n.ip, "zone": n.zone, "region": "greater-cairo", "zones": zones,
		"listen":    map[string]any{"front": n.front(), "readiness": n.readiness()},
		"portRange": []int{7340, 7355}, "seeds": []string{}, "bootstrap": bootstrap, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cpus": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceS, "lossSlackMs": 200, "configMs": 2000,
			"downgradeSlackMs": 250, "maxSkewMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56,
			"recoverS": 12, "passMs": 120, "retryAfterS": 10, "settle_ms": 1500,
		},
		"provider": map[string]any{"address": f.store.addr, "form": "kv", "writes_per_s": f.writes, "reads_per_s": 5 * f.writes, "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	b, err := json.MarshalIndent(set, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, b, 0o600)
}

// start starts all nodes for the first time, and the readiness probes.
func (f *fleet) start() error {
	for _, n := range f.nodes {
		out, err := os.Create(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.out = out
		if err := f.writeSettings(n, true); err != nil {
			return err
		}
		if err := f.launch(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, n := range f.nodes {
		f.wg.Go(func() { f.probe(ctx, n) })
	}
	return nil
}

// launch starts a node's process by the command of the deploy file, and starts it again whenever it ends.
func (f *fleet) launch(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(f.program, "router") //nolint:gosec // the program under test
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LEDGEMOUNT_CONFIG=" + n.settings}
	cmd.Dir = filepath.Dir(filepath.Dir(f.program)) // the repository's root
	cmd.Stdout, cmd.Stderr = n.out, n.out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.began, n.exited = cmd, time.Now(), make(chan struct{})
	n.starts++
	f.log.line("platform: %s starts, process %d", n.name, n.starts)
	exited := n.exited
	f.wg.Go(func() {
		err := cmd.Wait()
		f.log.line("platform: a process of %s has ended: %v", n.name, err)
		close(exited)
		f.relaunch(n)
	})
	return nil
}

// relaunch starts a node's next process after a short delay, with the settings of that moment.
func (f *fleet) relaunch(n *node) {
	time.Sleep(restartDelay)
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping {
		return
	}
	if err := f.writeSettings(n, false); err != nil {
		f.log.line("platform: %s: %v", n.name, err)
		return
	}
	if err := f.launch(n); err != nil {
		f.log.line("platform: %s: %v", n.name, err)
	}
}

// term stops a node's process with SIGTERM, and with SIGKILL after graceS. It returns at once.
func (f *fleet) term(n *node) {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	f.log.line("platform: SIGTERM to %s", n.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	f.wg.Go(func() {
		select {
		case <-exited:
		case <-time.After(graceS * time.Second):
			f.log.line("platform: SIGKILL to %s", n.name)
			_ = cmd.Process.Kill()
		}
	})
}

// hup tells a node's process that its settings file has changed.
func (f *fleet) hup(n *node) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	f.log.line("platform: SIGHUP to %s", n.name)
	_ = cmd.Process.Signal(syscall.SIGHUP)
}

// probe asks a node once a second whether it is ready. Two misses in a row take it out.
func (f *fleet) probe(ctx context.Context, n *node) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		ok := false
		if res, err := f.client.Get("http://" + n.readiness() + "/-/ready"); err == nil {
			ok = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
		n.mu.Lock()
		before := n.misses
		if ok {
			n.misses = 0
		} else {
			n.misses = min(maxMisses, n.misses+1)
		}
		after := n.misses
		n.mu.Unlock()
		if (before < maxMisses) != (after < maxMisses) {
			f.log.line("platform: %s gets new connections: %v", n.name, after < maxMisses)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ready returns the nodes that get new connections.
func (f *fleet) ready() []*node {
	var out []*node
	for _, n := range f.nodes {
		n.mu.Lock()
		if n.misses < maxMisses {
			out = append(out, n)
		}
		n.mu.Unlock()
	}
	return out
}

// awaitReady waits until all nodes get new connections. It returns false after a time.
func (f *fleet) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(f.ready()) == len(f.nodes) {
			return true
		}
	}
	return false
}

// awaitReturned waits until at least k nodes run their second process and get new connections. It returns false after a
// time.
func (f *fleet) awaitReturned(k int, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		returned := 0
		for _, n := range f.ready() {
			n.mu.Lock()
			if n.starts > 1 {
				returned++
			}
			n.mu.Unlock()
		}
		if returned >= k {
			return true
		}
	}
	return false
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopping = true
		cmd := n.cmd
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
		}
	}
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
	for _, n := range f.nodes {
		if n.out != nil {
			_ = n.out.Close()
		}
	}
}

// events returns the log lines of all nodes that contain one of the given texts, for the record.
func (f *fleet) events(texts ...string) []string {
	var out []string
	for _, n := range f.nodes {
		b, err := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			continue
		}
		for l := range strings.Lines(string(b)) {
			for _, t := range texts {
				if strings.Contains(l, t) {
					out = append(out, n.name+": "+strings.TrimSpace(l))
					break
				}
			}
		}
	}
	return out
}
