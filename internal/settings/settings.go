// Package settings reads the settings of an instance. They are strict JSON with defaults; errors name each invalid field.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
)

// Settings is the configuration that an instance reads at its start.
type Settings struct {
	Instance  Instance  `json:"instance"`
	Callers   Callers   `json:"callers"`
	Operators Operators `json:"operators"`
	Mesh      Mesh      `json:"mesh"`
	Platform  Platform  `json:"platform"`
	Budget    Budget    `json:"budget"`
	Log       Log       `json:"log"`
	Stop      Stop      `json:"stop"`
}

// Instance identifies the instance.
type Instance struct {
	ID   string `json:"id" validate:"required"`   // as in the platform's list of instances
	Zone string `json:"zone" validate:"required"` // availability zone
	// MemoryMB is the memory of the machine in megabytes; 0: unknown. It bounds what open requests hold together.
	MemoryMB int `json:"memory_mb" validate:"min=0"`
}

// Callers configures the API for callers.
type Callers struct {
	Listen       string `json:"listen" validate:"required,hostname_port"` // TCP host:port
	MaxBodyBytes int64  `json:"max_body_bytes" validate:"min=1024,max=67108864"`
	TLS          TLS    `json:"tls"`
}

// TLS names the files of a certificate and its key. Without them, the server uses plain HTTP.
type TLS struct {
	CertFile string `json:"cert_file" validate:"required_with=KeyFile"`
	KeyFile  string `json:"key_file" validate:"required_with=CertFile"`
}

// Operators configures the API for operators: intents, status and metrics.
type Operators struct {
	Listen string            `json:"listen" validate:"required,hostname_port"`      // TCP host:port
	Keys   map[string]string `json:"keys" validate:"min=1,dive,len=64,hexadecimal"` // SHA-256 of the key by operator
	TLS    TLS               `json:"tls"`
}

// Mesh configures the connections to other instances. The certificates and the key are PEM, in the settings or in files.
type Mesh struct {
	Listen   string `json:"listen" validate:"required,hostname_port"` // UDP host:port
	CA       string `json:"ca"`
	Cert     string `json:"cert"`
	Key      string `json:"key"`
	CAFile   string `json:"ca_file" validate:"required_without=CA"`
	CertFile string `json:"cert_file" validate:"required_without=Cert"`
	KeyFile  string `json:"key_file" validate:"required_without=Key"`
}

// Platform configures the access to the platform's services.
type Platform struct {
	StoreURL     string        `json:"store_url" validate:"required,http_url"`
	InstancesURL string        `json:"instances_url" validate:"required,http_url"`
	StoreTimeout time.Duration `json:"store_timeout" validate:"min=10ms,max=1m"`
	WeightLoads  float64       `json:"weight_loads_per_s" validate:"gt=0"`
}

// Budget configures the intervals of the escrow.
type Budget struct {
	Flush           time.Duration `json:"flush" validate:"min=10ms,max=1m"`  // maximum time until a charge is in the store
	RefreshInterval time.Duration `json:"beat" validate:"min=100ms,max=1m"`  // maximum time between writes of the journal
	Horizon         time.Duration `json:"horizon" validate:"min=1s,max=24h"` // store outage that the escrow should outlast
	Idle            time.Duration `json:"idle" validate:"min=1s,max=24h"`    // unused escrow is returned after this time
	DeadTimeout     time.Duration `json:"dead" validate:"min=1s,max=10m"`    // a holder that is missing this long is reclaimed
	OrphanTimeout   time.Duration `json:"orphan" validate:"min=6s,max=10m"`  // delay of settling a missing instance's requests
}

// Log configures logging.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Stop configures the planned stop.
type Stop struct {
	Within time.Duration `json:"within" validate:"min=1s,max=1h"` // how long to wait for requests in progress
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Callers:   Callers{Listen: "127.0.0.1:8080", MaxBodyBytes: 4 << 20},
		Operators: Operators{Listen: "127.0.0.1:8081"},
		Mesh:      Mesh{Listen: "127.0.0.1:7070"},
		Platform:  Platform{StoreTimeout: 2 * time.Second, WeightLoads: 1},
		Budget: Budget{
			Flush: time.Second, RefreshInterval: 5 * time.Second, Horizon: 10 * time.Minute, Idle: time.Hour,
			DeadTimeout: 12 * time.Second, OrphanTimeout: 12 * time.Second,
		},
		Log:  Log{Level: "info"},
		Stop: Stop{Within: time.Minute},
	}
}

var validate = declare.NewValidator()

// Decode decodes settings. Its error lists every fault with the path of its field.
func Decode(data []byte) (*Settings, error) {
	s := Defaults()
	if err := declare.DecodeStrict(data, &s); err != nil {
		var faults declare.Faults
		if eris.As(err, &faults) {
			return nil, append(faults, withoutReported(validate.Check(s), faults)...).OrNil()
		}
		return nil, err
	}
	faults := validate.Check(s)
	faults = append(faults, checkPorts(&s)...)
	if err := faults.OrNil(); err != nil {
		return nil, err
	}
	return &s, nil
}

// withoutReported returns the faults of more whose paths are not among those of reported. A field that could not be decoded
// is reported once, not as missing in addition.
func withoutReported(more, reported declare.Faults) declare.Faults {
	seen := make(map[string]bool, len(reported))
	for _, f := range reported {
		seen[f.Path] = true
	}
	var out declare.Faults
	for _, f := range more {
		if !seen[f.Path] {
			out = append(out, f)
		}
	}
	return out
}

// checkPorts checks the listen addresses of the two APIs.
func checkPorts(s *Settings) declare.Faults {
	var out declare.Faults
	if s.Callers.Listen == s.Operators.Listen {
		out = append(out, declare.Fault{Path: "operators/listen", Detail: "is the same as callers/listen"})
	}
	for path, addr := range map[string]string{"callers/listen": s.Callers.Listen, "operators/listen": s.Operators.Listen} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			out = append(out, declare.Fault{Path: path, Detail: fmt.Sprint(err)})
		}
	}
	return out
}

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "reading the settings")
	}
	return Decode(data)
}

// PEMs returns the certificate authority, the certificate and the key of the mesh.
func (m Mesh) PEMs() (ca, cert, key []byte, err error) {
	if ca, err = loadPEM(m.CA, m.CAFile); err != nil {
		return nil, nil, nil, err
	}
	if cert, err = loadPEM(m.Cert, m.CertFile); err != nil {
		return nil, nil, nil, err
	}
	key, err = loadPEM(m.Key, m.KeyFile)
	return ca, cert, key, err
}

// loadPEM returns text, or the content of the file if text is empty.
func loadPEM(text, file string) ([]byte, error) {
	if text != "" {
		return []byte(text), nil
	}
	b, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	return b, eris.Wrapf(err, "reading %s", file)
}
