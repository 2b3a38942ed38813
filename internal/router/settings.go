package router

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// Settings are everything that one router is told at its start. Times are written like "2s" or "150ms".
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
	// Without names mechanisms that are switched off, to measure what they are worth. Not for use.
	Without []Mechanism `json:"without" validate:"dive,oneof=affinity loads fleet-time loans pools leaders crowded-link ranks patience retries health scarcity"`
}

// Instance says which instance this is.
type Instance struct {
	ID   string `json:"id" validate:"required"`   // outlasts the process: a successor has the same
	Zone string `json:"zone" validate:"required"` // availability zone
	// LinkMbps is what the machine's link carries each way, in megabits a second; 0: not known. Callers are sent to other instances
	// before it is full, and in a large fleet the machines with the larger links lead their zones.
	LinkMbps float64 `json:"link_mbps" validate:"min=0"`
	// Regions tells the region of each availability zone, for routes and customers that may run in some only.
	Regions map[string]string `json:"regions"`
}

// Cold bounds what all instances together may send to an endpoint that has just started: in no second more than the service's figure for
// one times Overage, and Slack requests more.
type Cold struct {
	Overage float64 `json:"overage" validate:"min=1"`
	Slack   float64 `json:"slack" validate:"min=0"`
}

// Peers is the side towards the fleet's other instances.
type Peers struct {
	Listen string `json:"listen" validate:"omitempty,hostname_port"` // UDP address; empty: the instance stays by itself
	Large  int    `json:"large" validate:"min=2"`                    // instances from which zones are led
}

// Callers is the callers' side.
type Callers struct {
	Listen string `json:"listen" validate:"required,hostname_port"`
}

// Probes is where the platform asks whether the instance takes callers, and where metrics are read.
type Probes struct {
	Listen      string `json:"listen" validate:"required,hostname_port"`
	ReadyPath   string `json:"ready_path" validate:"required,startswith=/"`
	MetricsPath string `json:"metrics_path" validate:"required,startswith=/"`
	// MetricsListen is an address for metrics alone; empty: they are served on Listen only.
	MetricsListen string `json:"metrics_listen" validate:"omitempty,hostname_port"`
}

// Store is the platform's key-value store.
type Store struct {
	Address string `json:"address" validate:"required,hostname_port"`
	Prefix  string `json:"prefix" validate:"required,endswith=/"` // of the keys that this fleet writes
	Pages   int    `json:"pages" validate:"min=0,max=4096"`       // values over which accounts are spread; 0: by Writes
	Writes  int    `json:"writes_per_second" validate:"min=0"`    // that the store takes of the whole fleet
}

// A page of accounts is one value, which one holder writes at a time. A store is sized by its fleet, so more writes mean more
// zones, each of which writes a page about once a second.
const (
	onePageWrites = 1200 // up to here all accounts lie in one page
	writesPerPage = 1000
)

// pages is the number of values over which accounts are spread. All instances must come to the same.
func (s Store) pages() int {
	switch {
	case s.Pages > 0:
		return s.Pages
	case s.Writes <= onePageWrites:
		return 1
	}
	return s.Writes / writesPerPage
}

// Retry bounds the requests that all instances together send again.
type Retry struct {
	Ratio  float64       `json:"ratio" validate:"min=0,max=1"` // of a service's requests in a window
	Slack  int           `json:"slack" validate:"min=0"`       // beside them, in a window
	Window time.Duration `json:"window" validate:"min=1000000"`
}

// Stop is the planned stop.
type Stop struct {
	Within time.Duration `json:"within" validate:"min=1000000000"` // after this the process is killed
}

// Log sets the log's level.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Defaults are the settings where a file says nothing.
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

// Decode reads settings. Its error lists every fault with the path of its field.
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

// Check reports what is wrong with settings, with the path of every field.
func Check(s *Settings) error { return validate.Check(*s).OrNil() }

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "reading the settings")
	}
	return Decode(data)
}
