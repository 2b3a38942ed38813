// Package settings reads an instance's settings: JSON, strict, with defaults, and with errors that name the bad field.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
)

// Settings are everything that one instance is told at its start.
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

// Instance says which instance this is.
type Instance struct {
	ID   string `json:"id" validate:"required"`   // as in the platform's list
	Zone string `json:"zone" validate:"required"` // availability zone
}

// Callers is the callers' side.
type Callers struct {
	Listen       string `json:"listen" validate:"required,hostname_port"` // TCP host:port
	MaxBodyBytes int64  `json:"max_body_bytes" validate:"min=1024,max=67108864"`
	TLS          TLS    `json:"tls"`
}

// TLS names a certificate and its key; without them, plain HTTP is served.
type TLS struct {
	CertFile string `json:"cert_file" validate:"required_with=KeyFile"`
	KeyFile  string `json:"key_file" validate:"required_with=CertFile"`
}

// Operators is the operators' side: intents, status, metrics.
type Operators struct {
	Listen string            `json:"listen" validate:"required,hostname_port"`      // TCP host:port
	Keys   map[string]string `json:"keys" validate:"min=1,dive,len=64,hexadecimal"` // SHA-256 of each operator's key
	TLS    TLS               `json:"tls"`
}

// Mesh is the side towards other instances. Certificate and keys are PEM, in the settings or in files.
type Mesh struct {
	Listen   string `json:"listen" validate:"required,hostname_port"` // UDP host:port
	CA       string `json:"ca"`
	Cert     string `json:"cert"`
	Key      string `json:"key"`
	CAFile   string `json:"ca_file" validate:"required_without=CA"`
	CertFile string `json:"cert_file" validate:"required_without=Cert"`
	KeyFile  string `json:"key_file" validate:"required_without=Key"`
}

// Platform says where the platform's services are.
type Platform struct {
	StoreURL     string        `json:"store_url" validate:"required,http_url"`
	InstancesURL string        `json:"instances_url" validate:"required,http_url"`
	StoreTimeout time.Duration `json:"store_timeout" validate:"min=10ms,max=1m"`
	WeightLoads  float64       `json:"weight_loads_per_s" validate:"gt=0"`
}

// Budget has the intervals of the escrow.
type Budget struct {
	Flush   time.Duration `json:"flush" validate:"min=10ms,max=1m"`  // longest time that a charge waits for the store
	Beat    time.Duration `json:"beat" validate:"min=100ms,max=1m"`  // longest time between two writes of a journal
	Horizon time.Duration `json:"horizon" validate:"min=1s,max=24h"` // how long escrow should outlast an outage
	Idle    time.Duration `json:"idle" validate:"min=1s,max=24h"`    // unused escrow goes back after this time
	Dead    time.Duration `json:"dead" validate:"min=1s,max=10m"`    // a holder that is missing this long is taken over
	Orphan  time.Duration `json:"orphan" validate:"min=6s,max=10m"`  // a missing instance's request is settled after this time
}

// Log reports what is logged.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Stop limits a planned stop.
type Stop struct {
	Within time.Duration `json:"within" validate:"min=1s,max=1h"` // how long requests in progress are waited for
}

// Defaults are the settings that a file need not give.
func Defaults() Settings {
	return Settings{
		Callers:   Callers{Listen: "127.0.0.1:8080", MaxBodyBytes: 4 << 20},
		Operators: Operators{Listen: "127.0.0.1:8081"},
		Mesh:      Mesh{Listen: "127.0.0.1:7070"},
		Platform:  Platform{StoreTimeout: 2 * time.Second, WeightLoads: 1},
		Budget: Budget{
			Flush: time.Second, Beat: 5 * time.Second, Horizon: 10 * time.Minute, Idle: time.Hour,
			Dead: 12 * time.Second, Orphan: 12 * time.Second,
		},
		Log:  Log{Level: "info"},
		Stop: Stop{Within: time.Minute},
	}
}

var validate = declare.NewValidator()

// Decode reads settings. Its error lists every fault with the path of its field.
func Decode(data []byte) (*Settings, error) {
	s := Defaults()
	if err := declare.DecodeStrict(data, &s); err != nil {
		var faults declare.Faults
		if eris.As(err, &faults) {
			return nil, append(faults, missingOnly(validate.Check(s), faults)...).OrNil()
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

// missingOnly drops faults of fields that could not be decoded in the first place.
func missingOnly(more, have declare.Faults) declare.Faults {
	known := make(map[string]bool, len(have))
	for _, f := range have {
		known[f.Path] = true
	}
	var out declare.Faults
	for _, f := range more {
		if !known[f.Path] {
			out = append(out, f)
		}
	}
	return out
}

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

// PEMs returns the mesh's authority, certificate and key.
func (m Mesh) PEMs() (ca, cert, key []byte, err error) {
	if ca, err = pem(m.CA, m.CAFile); err != nil {
		return nil, nil, nil, err
	}
	if cert, err = pem(m.Cert, m.CertFile); err != nil {
		return nil, nil, nil, err
	}
	key, err = pem(m.Key, m.KeyFile)
	return ca, cert, key, err
}

func pem(text, file string) ([]byte, error) {
	if text != "" {
		return []byte(text), nil
	}
	b, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	return b, eris.Wrapf(err, "reading %s", file)
}
