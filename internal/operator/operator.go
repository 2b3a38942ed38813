// Package operator implements the API for operators: intents, plans, confirmations, status and reports.
package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/burn"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// KindBurn requests the burn series of an instance.
const KindBurn mesh.Kind = "operator.burn"

const (
	maxIntent   = 1 << 20 // bytes
	burnTimeout = time.Second
)

// BurnSeries is the response to KindBurn.
type BurnSeries struct {
	Series []burn.Series `cbor:"1,keyasint"`
}

// Deps holds the services that a Server needs.
type Deps struct {
	Keys     map[string]string // SHA-256 of each operator's key, by operator
	Feed     intent.Feed
	Members  *member.View
	Caller   mesh.Caller
	Router   *mesh.Router
	Planner  *intent.Service
	Store    external.Store
	Targets  *targets.Targets
	Home     *budget.Home
	Recorder *burn.Recorder
	Metrics  http.Handler
	Calls    func() map[external.Duty]external.Calls
	Now      func() time.Time
}

// Server serves the API for operators of one instance.
type Server struct{ d Deps }

// New returns a Server and registers its message handler.
func New(d Deps) *Server {
	mesh.Handle(d.Router, KindBurn, func(context.Context, mesh.Peer, mesh.Empty) (BurnSeries, error) {
		return BurnSeries{Series: d.Recorder.Snapshot()}, nil
	})
	return &Server{d: d}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/metrics", echo.WrapHandler(s.d.Metrics))
	v1 := e.Group("/v1", s.authenticate)
	v1.POST("/intents", s.plan)
	v1.GET("/plans/:id", s.lookup)
	v1.POST("/plans/:id/confirm", s.confirm)
	v1.GET("/config", s.config)
	v1.GET("/endpoints", s.endpoints)
	v1.GET("/instances", s.instances)
	v1.GET("/budgets/:id", s.budget)
	v1.GET("/holds", s.holds)
	v1.GET("/accounts", s.accounts)
	v1.GET("/store", s.store)
	v1.GET("/burn", s.burn)
	return e
}

// handleError writes an error as a problem document. An error of echo itself, such as for an unknown path,
// becomes CodeNotFound.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		err = verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is nothing at "+c.Request().URL.Path)
	}
	gateway.WriteProblem(c.Response(), err, "")
}

// authenticate passes on only requests that have the key of an operator.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		secret, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if ok {
			hash := declare.HashKey(secret)
			for _, known := range s.d.Keys {
				if known == hash {
					return next(c)
				}
			}
		}
		return verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "an operator's key is needed", verdict.WithField("Authorization"))
	}
}

func (s *Server) plan(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxIntent+1))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body could not be read", verdict.WithCause(err))
	}
	if len(body) > maxIntent {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the intent is over 1 MiB", verdict.WithField("(body)"))
	}
	var in intent.Intent
	if err := declare.DecodeStrict(body, &in); err != nil {
		return badRequest(err)
	}
	p, err := s.d.Planner.Plan(c.Request().Context(), &in)
	if err != nil {
		return badRequest(err)
	}
	return c.JSON(http.StatusOK, p)
}

// badRequest converts Faults to a verdict of CodeBadRequest for the first field. Other errors stay.
func badRequest(err error) error {
	var faults declare.Faults
	if errors.As(err, &faults) && len(faults) > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, faults.Error(), verdict.WithField(faults[0].Path))
	}
	return err
}

func (s *Server) lookup(c echo.Context) error {
	p, err := s.d.Planner.Lookup(c.Request().Context(), c.Param("id"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p)
}

func (s *Server) confirm(c echo.Context) error {
	res, err := s.d.Planner.Confirm(c.Request().Context(), c.Param("id"))
	if err != nil {
		return err
	}
	res.Zones = s.statusReports(c.Request().Context())
	return c.JSON(http.StatusOK, res)
}

// statusReports returns the configuration version in force at each instance.
func (s *Server) statusReports(ctx context.Context) []intent.Report {
	seen, unseen := s.d.Planner.Statuses(ctx)
	out := make([]intent.Report, 0, len(seen)+len(unseen))
	for _, st := range seen {
		out = append(out, intent.Report{Instance: st.Peer.ID, Zone: st.Peer.Zone, Version: st.Version, Answered: true})
	}
	for _, p := range unseen {
		out = append(out, intent.Report{Instance: p.ID, Zone: p.Zone})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Zone != out[j].Zone {
			return out[i].Zone < out[j].Zone
		}
		return out[i].Instance < out[j].Instance
	})
	return out
}

func (s *Server) config(c echo.Context) error { return c.JSON(http.StatusOK, s.d.Feed.Document()) }

// EndpointView is the status of one endpoint across the fleet.
type EndpointView struct {
	ID       string                `json:"id"`
	Zone     string                `json:"zone"`
	State    declare.EndpointState `json:"state"`
	Version  string                `json:"version,omitempty"`
	Fence    int64                 `json:"fence"`
	InFlight map[string]int        `json:"in_flight"`        // requests in progress, by zone of the serving instances
	Unseen   []string              `json:"unseen,omitempty"` // instances that did not respond
	Behind   []string              `json:"behind,omitempty"` // instances with an older configuration
	Drained  bool                  `json:"drained"`          // all instances have the drain in force, no requests in progress
	Here     *targets.Status       `json:"here,omitempty"`   // status at the instance that serves this API
}

func (s *Server) endpoints(c echo.Context) error {
	doc := s.d.Feed.Document()
	seen, unseen := s.d.Planner.Statuses(c.Request().Context())
	here := make(map[string]targets.Status)
	for _, st := range s.d.Targets.Statuses() {
		here[st.ID] = st
	}
	out := make([]EndpointView, 0, len(doc.Decl.Endpoints))
	for id, e := range doc.Decl.Endpoints {
		v := EndpointView{
			ID: id, Zone: e.Zone, State: e.State, Version: e.Version, Fence: doc.Fences[id], InFlight: make(map[string]int),
		}
		total := 0
		for _, st := range seen {
			v.InFlight[st.Peer.Zone] += st.InFlight[id]
			total += st.InFlight[id]
			if st.Version < v.Fence {
				v.Behind = append(v.Behind, st.Peer.ID)
			}
		}
		for _, p := range unseen {
			v.Unseen = append(v.Unseen, p.ID)
		}
		v.Drained = e.State == declare.StateDraining && total == 0 && len(v.Behind) == 0 && len(v.Unseen) == 0
		if st, ok := here[id]; ok {
			v.Here = &st
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return c.JSON(http.StatusOK, out)
}

func (s *Server) instances(c echo.Context) error {
	return c.JSON(http.StatusOK, s.d.Members.Statuses())
}

func (s *Server) accounts(c echo.Context) error { return c.JSON(http.StatusOK, s.d.Home.Accounts()) }

func (s *Server) store(c echo.Context) error { return c.JSON(http.StatusOK, s.d.Calls()) }

func (s *Server) budget(c echo.Context) error {
	v, err := budget.Inspect(c.Request().Context(), s.d.Store, c.Param("id"))
	if errors.Is(err, budget.ErrUnknown) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is no budget "+c.Param("id"))
	}
	if err != nil {
		return unavailable(err)
	}
	return c.JSON(http.StatusOK, v)
}

func (s *Server) holds(c echo.Context) error {
	v, err := budget.FencedHolders(c.Request().Context(), s.d.Store)
	if err != nil {
		return unavailable(err)
	}
	return c.JSON(http.StatusOK, v)
}

func unavailable(err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store cannot be asked now",
		verdict.WithRetryAfter(2*time.Second), verdict.WithCause(err))
}

func (s *Server) burn(c echo.Context) error {
	r, err := s.BurnReport(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, r)
}

// BurnReport merges the burn series of all instances into a report.
func (s *Server) BurnReport(ctx context.Context) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var all [][]burn.Series
	unseen := 0
	for _, p := range s.d.Members.Fleet() {
		b, err := mesh.Call[mesh.Empty, BurnSeries](ctx, s.d.Caller, p.Addr, KindBurn, mesh.Empty{})
		if err != nil {
			unseen++
			continue
		}
		all = append(all, b.Series)
	}
	r, err := burn.Merge(all, s.d.Feed.Document().Decl.Classes, s.d.Now())
	r.Unseen = unseen
	return r, err
}
