package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// router is one process of the project's program, started with the command of the deploy file.
type router struct {
	node, zone, host string
	front, ready     string
	settings         string
	store            string
	bootstrap        bool
	cmd              *exec.Cmd
	ended            chan struct{}
}

var zones = []string{"north", "west", "south"}

// newRouter prepares a router on its own loopback address.
func newRouter(dir string, n int, store string) *router {
	host := hostOf(n)
	r := &router{node: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], n/len(zones)+1), zone: zones[n%len(zones)], host: host, store: store, bootstrap: true}
	r.front, r.ready = freeAddr(host), freeAddr(host)
	r.settings = filepath.Join(dir, r.node+".json")
	return r
}

// hostOf returns the loopback address of the machine with a number.
func hostOf(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, n+1)
}

func freeAddr(host string) string {
	l := listen(host)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// write writes the settings as those of a small deployment.
func (r *router) write() {
	port := r.peerPort()
	set := map[string]any{
		"node": r.node, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ip": r.host, "zone": r.zone, "region": "land",
		"zones":  map[string]string{"north": "land", "west": "land", "south": "land"},
		"listen": map[string]string{"front": r.front, "readiness": r.ready}, "portRange": []int{port, port + 15}, "seeds": []string{}, "bootstrap": r.bootstrap, "inTolerance": false,
		"limits":    map[string]any{"cpuShare": 0.4, "cpus": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
			"downgradeSlackMs": 250, "maxSkewMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52,
			"recoverS": 12, "passMs": 120, "retryAfterS": 10, "settle_ms": 1500,
		},
		"provider": map[string]any{"address": r.store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	raw, _ := json.Marshal(set)
	if err := os.WriteFile(r.settings+".new", raw, 0o600); err != nil {
		fail("writing settings: %v", err)
	}
	if err := os.Rename(r.settings+".new", r.settings); err != nil {
		fail("writing settings: %v", err)
	}
}

func (r *router) peerPort() int {
	_, port, _ := net.SplitHostPort(r.front)
	n, _ := strconv.Atoi(port)
	return 7000 + n%2000
}

// start starts the process.
func (r *router) start() {
	r.write()
	log, err := os.OpenFile(strings.TrimSuffix(r.settings, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("opening a log: %v", err)
	}
	defer func() { _ = log.Close() }()
	r.cmd = exec.Command("target/ledgemount", "router")
	r.cmd.Env = append(os.Environ(), "LEDGEMOUNT_CONFIG="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		fail("starting the router: %v", err)
	}
	r.bootstrap = false
	ended := make(chan struct{})
	cmd := r.cmd
	r.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	<-r.ended
}

func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + r.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the router is ready; it reports whether that was in time.
func (r *router) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return true
		}
	}
	return false
}
