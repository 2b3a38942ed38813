package router

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// Settings is the content of a router's settings file. Durations are written like "2s" or "150ms".
type Settings struct {
	Instance Instance `json:"instance"`
	Callers  Callers  `json:"callers"`
	Probes   Probes   `json:"probes"`
	Store    Store    `json:"store"`
	Retry    Retry    `json:"retry"`
	Stop     Stop     `json:"stop"`
	Cold     Cold     `json:"cold"`
	Peers    Peers    `json:"peers"`
	Log      Log      `json:"log"`
	// Without lists mechanisms to disable, for experiments that measure their effect. It is not for production.
	Without []Mechanism `json:"without" validate:"dive,oneof=affinity loads fleet-time loans pools leaders crowded-link ranks patience retries health scarcity"`
}

// Instance identifies the instance and describes its machine.
type Instance struct {
	ID   string `json:"id" validate:"required"`   // the same after a restart of the process
	Zone string `json:"zone" validate:"required"` // availability zone
	// LinkMbps is the capacity of the machine's network link in each direction, in megabits per second; 0: unknown. Callers
	// are diverted to other instances before the link is saturated. In a large fleet, the machines with the largest links
	// lead their availability zones.
	LinkMbps float64 `json:"link_mbps" validate:"min=0"`
	// MemoryMB is the memory of the machine in megabytes, above which the process would be ended; 0: unknown. It bounds what
	// open requests hold together.
	MemoryMB int `json:"memory_mb" validate:"min=0"`
	// MaxFiles is the number of files, sockets included, that the process may have open; 0: unknown. It bounds the number of
	// callers' connections.
	MaxFiles int `json:"max_files" validate:"min=0"`
	// FirstStart states that the fleet starts for the first time: no instance of it has served before.
	FirstStart bool `json:"first_start"`
	// Regions maps each availability zone to its region, for routes and customers that are restricted to some regions.
	Regions map[string]string `json:"regions"`
}

const (
	reservedFiles   = 200  // for everything but the connections of requests
	connectionShare = 0.45 // of the other files: each request may need another one to an endpoint
	minConnections  = 16
)

// maxConnections returns how many connections of callers may be open; 0: unlimited. Their files and the memory of their
// requests have to suffice.
func (i Instance) maxConnections() int {
	var limits []int
	if i.MaxFiles > 0 {
		limits = append(limits, int(connectionShare*float64(i.MaxFiles-reservedFiles)))
	}
	if i.MemoryMB > 0 {
		limits = append(limits, int(memory.ForRequests(i.MemoryMB)/memory.RequestOverhead))
	}
	if len(limits) == 0 {
		return 0
	}
	return max(minConnections, slices.Min(limits))
}

// Cold limits the requests that all instances together send to an endpoint that has just started. In any second, they
// send at most the service's slow-start rate times Overage, plus Slack requests.
type Cold struct {
	Overage float64 `json:"overage" validate:"min=1"`
	Slack   float64 `json:"slack" validate:"min=0"`
}

// Peers configures the communication with the other instances of the fleet.
type Peers struct {
	Listen string `json:"listen" validate:"omitempty,hostname_port"` // UDP address; empty: the instance runs standalone
	Large  int    `json:"large" validate:"min=2"`                    // fleet size from which zones have leaders
}

// Callers configures the listener for callers.
type Callers struct {
	Listen string `json:"listen" validate:"required,hostname_port"`
}

// Probes configures the readiness probe and the metrics.
type Probes struct {
	Listen      string `json:"listen" validate:"required,hostname_port"`
	ReadyPath   string `json:"ready_path" validate:"required,startswith=/"`
	MetricsPath string `json:"metrics_path" validate:"required,startswith=/"`
	// MetricsListen is an additional address that serves only metrics; empty: they are served on Listen only.
	MetricsListen string `json:"metrics_listen" validate:"omitempty,hostname_port"`
}

// Store configures the access to the platform's key-value store.
type Store struct {
	Address string `json:"address" validate:"required,hostname_port"`
	Prefix  string `json:"prefix" validate:"required,endswith=/"` // of all keys that this fleet writes
	Pages   int    `json:"pages" validate:"min=0,max=4096"`       // pages among which accounts are distributed; 0: by Writes
	Writes  int    `json:"writes_per_second" validate:"min=0"`    // write capacity of the store for the whole fleet
}

// A page of accounts is a single store value, which one holder writes at a time. A store is sized for its fleet, so a
// higher write capacity means more availability zones, each of which writes a page about once a second.
const (
	maxOnePageWrites = 1200 // up to this write capacity, all accounts are in one page
	writesPerPage    = 1000
)

// pages returns the number of pages among which accounts are distributed if the store has none yet.
func (s Store) pages() int {
	switch {
	case s.Pages > 0:
		return s.Pages
	case s.Writes <= maxOnePageWrites:
		return 1
	}
	return s.Writes / writesPerPage
}

// Retry limits the retries of all instances together.
type Retry struct {
	Ratio  float64       `json:"ratio" validate:"min=0,max=1"` // retries per request to a service, within a window
	Slack  int           `json:"slack" validate:"min=0"`       // additional retries per window
	Window time.Duration `json:"window" validate:"min=1000000"`
}

// Stop configures the planned stop.
type Stop struct {
	Within time.Duration `json:"within" validate:"min=1000000000"` // time after which the process is killed
}

// Log configures the log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Probes: Probes{ReadyPath: "/ready", MetricsPath: "/metrics"},
		Store:  Store{Prefix: "ledgemount/"},
		Retry:  Retry{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
		Stop:   Stop{Within: 8 * time.Second},
		Cold:   Cold{Overage: 1},
		Peers:  Peers{Large: peers.DefaultLargeFleet},
		Log:    Log{Level: "info"},
	}
}

var validate = declare.NewValidator()

// Decode parses and validates settings. Its error lists every invalid field with its path.
func Decode(data []byte) (*Settings, error) {
	s := Defaults()
	if err := declare.DecodeStrict(data, &s); err != nil {
		return nil, err
	}
	if err := Check(&s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check validates settings. Its error lists every invalid field with its path.
func Check(s *Settings) error { return validate.Check(*s).OrNil() }

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "reading the settings")
	}
	return Decode(data)
}
