// Package bundle runs all stand-ins together, for manual tests of instances.
package bundle

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/standin"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/standin/list"
	"github.com/ledgemount/ledgemount/internal/standin/plain"
)

// Settings configure which stand-ins run, and on which addresses.
type Settings struct {
	Store     string            `json:"store" validate:"required,hostname_port"`   // TCP host:port of the key-value service
	List      string            `json:"list" validate:"required,hostname_port"`    // of the instance list
	Faults    string            `json:"faults" validate:"omitempty,hostname_port"` // of the fault switches: POST /NAME/FAULT/on or /off
	Instances []ListedInstance  `json:"instances" validate:"dive"`                 // entries of the instance list
	Engines   map[string]Engine `json:"engines" validate:"dive"`
	Plain     map[string]Plain  `json:"plain" validate:"dive"`
}

// ListedInstance is one entry of the instance list.
type ListedInstance struct {
	ID   string `json:"id" validate:"required"`
	Zone string `json:"zone" validate:"required"`
	Mesh string `json:"mesh" validate:"required,hostname_port"`
}

// Engine configures one model engine.
type Engine struct {
	Listen     string        `json:"listen" validate:"required,hostname_port"`
	Model      string        `json:"model" validate:"required"`
	FirstToken time.Duration `json:"first_token"`
	PerToken   time.Duration `json:"per_token"`
	Capacity   int           `json:"capacity" validate:"min=0"`
}

// Plain configures one plain service.
type Plain struct {
	Listen string        `json:"listen" validate:"required,hostname_port"`
	Delay  time.Duration `json:"delay"`
}

const defaultCapacity = 64

// Decode decodes and validates settings. Its error lists every invalid setting.
func Decode(data []byte) (*Settings, error) {
	var s Settings
	if err := declare.DecodeStrict(data, &s); err != nil {
		return nil, err
	}
	return &s, declare.NewValidator().Check(s).OrNil()
}

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "reading the stand-ins' settings")
	}
	return Decode(data)
}

// Bundle is a running set of stand-ins.
type Bundle struct {
	kv      *kv.Server
	servers []*standin.Server
	engines map[string]*engine.Engine
	plain   map[string]*plain.Service
}

// Start starts the stand-ins.
func Start(s *Settings) (*Bundle, error) {
	b := &Bundle{kv: kv.New(), engines: make(map[string]*engine.Engine), plain: make(map[string]*plain.Service)}
	l := list.New()
	for _, in := range s.Instances {
		l.Set(external.Instance{ID: in.ID, Zone: in.Zone, Addr: in.Mesh, State: external.StateLive})
	}
	err := b.serve(s.Store, b.kv.Handler())
	if err == nil {
		err = b.serve(s.List, l.Handler())
	}
	if err == nil && s.Faults != "" {
		err = b.serve(s.Faults, b.faults())
	}
	for name, e := range s.Engines {
		if err == nil {
			err = b.startEngine(name, e)
		}
	}
	for name, p := range s.Plain {
		if err == nil {
			b.plain[name] = plain.New(p.Delay)
			err = b.serve(p.Listen, b.plain[name])
		}
	}
	if err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bundle) startEngine(name string, e Engine) error {
	capacity := e.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	b.engines[name] = engine.New(e.Model, engine.WithTimes(e.FirstToken, e.PerToken), engine.WithCapacity(capacity))
	return b.serve(e.Listen, b.engines[name].Handler())
}

func (b *Bundle) serve(addr string, h http.Handler) error {
	s, err := standin.Serve(addr, h)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, s)
	return nil
}

// faults returns the handler of the fault switches and the engines' logs.
func (b *Bundle) faults() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{name}/{fault}/{state}", func(w http.ResponseWriter, r *http.Request) {
		on := r.PathValue("state") == "on"
		if !b.setFault(r.PathValue("name"), r.PathValue("fault"), on) {
			http.Error(w, "no such stand-in", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /engines/{name}/log", func(w http.ResponseWriter, r *http.Request) {
		e, ok := b.engines[r.PathValue("name")]
		if !ok {
			http.Error(w, "no such engine", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(e.Log())
	})
	return mux
}

// setFault turns a stand-in's fault on or off, and reports whether a stand-in has that name.
func (b *Bundle) setFault(name, fault string, on bool) bool {
	if name == "store" {
		b.kv.Set(kv.Fault(fault), on)
		return true
	}
	if e, ok := b.engines[name]; ok {
		if engine.Fault(fault) == engine.Crash {
			e.SetCrash(on)
		} else {
			e.Set(engine.Fault(fault), on)
		}
		return true
	}
	p, ok := b.plain[name]
	if ok {
		p.Set(plain.Fault(fault), on)
	}
	return ok
}

// Run waits until ctx ends, and stops the stand-ins.
func (b *Bundle) Run(ctx context.Context) {
	<-ctx.Done()
	b.Close()
}

// Close stops every stand-in and waits until its server no longer serves.
func (b *Bundle) Close() {
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.kv.Close()
}
