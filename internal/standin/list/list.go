// Package list is a stand-in for the platform's list of instances, in the HTTP service-discovery format.
package list

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/httplist"
)

type change struct {
	at      time.Time
	inst    external.Instance
	removed bool
}

// Server is the stand-in. Changes become visible after its lag.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	pending []change
	visible map[string]external.Instance
}

// New makes an empty list.
func New() *Server {
	return &Server{visible: make(map[string]external.Instance)}
}

// SetLag delays the visibility of later changes by d.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Set adds or changes an instance.
func (s *Server) Set(inst external.Instance) { s.enqueue(change{inst: inst}) }

// Remove removes an instance from the list.
func (s *Server) Remove(id string) {
	s.enqueue(change{inst: external.Instance{ID: id}, removed: true})
}

func (s *Server) enqueue(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = time.Now().Add(s.lag)
	s.pending = append(s.pending, c)
}

// applyDue makes the pending changes that are due visible.
func (s *Server) applyDue(now time.Time) {
	remaining := s.pending[:0]
	for _, c := range s.pending {
		switch {
		case now.Before(c.at):
			remaining = append(remaining, c)
		case c.removed:
			delete(s.visible, c.inst.ID)
		default:
			s.visible[c.inst.ID] = c.inst
		}
	}
	s.pending = remaining
}

// Handler serves the list.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.applyDue(time.Now())
		groups := make([]httplist.Group, 0, len(s.visible))
		for _, inst := range s.visible {
			groups = append(groups, httplist.Group{
				Targets: []string{inst.Addr},
				Labels:  httplist.Labels{ID: inst.ID, Zone: inst.Zone, State: string(inst.State)},
			})
		}
		s.mu.Unlock()
		sort.Slice(groups, func(i, j int) bool { return groups[i].Labels.ID < groups[j].Labels.ID })
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(groups)
	})
}
