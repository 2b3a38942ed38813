package endpoint

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/budget"
)

// Directory looks up an endpoint's URL and whether it checks fencing tokens.
type Directory interface {
	Endpoint(id string) (url string, fenced, ok bool)
}

// Stopper stops runs at any endpoint. It implements budget.Stopper.
type Stopper struct {
	driver *Driver
	dir    Directory
}

// NewStopper returns a Stopper that looks up endpoints in dir.
func NewStopper(d *Driver, dir Directory) *Stopper { return &Stopper{driver: d, dir: dir} }

// StopRun implements budget.Stopper. An endpoint that checks fencing tokens also prevents the run from starting later.
func (s *Stopper) StopRun(ctx context.Context, place budget.Place) (used int64, known, final bool, err error) {
	url, fenced, ok := s.dir.Endpoint(place.Endpoint)
	if !ok {
		return 0, false, false, eris.Errorf("endpoint %s is not declared any more", place.Endpoint)
	}
	out, err := s.driver.Stop(ctx, url, place.Run)
	if err != nil {
		return 0, false, false, err
	}
	return out.Usage.TotalTokens, out.Known, fenced, nil
}
