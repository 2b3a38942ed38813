// Package httplist is the instance-list adapter for the Prometheus HTTP service-discovery format.
//
// Source: the published http_sd format, a JSON array of {"targets": ["host:port"], "labels": {...}}.
package httplist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/httpcheck"
)

const (
	defaultTimeout   = time.Second
	maxResponseBytes = 4 << 20
)

// Group is one element of the list.
type Group struct {
	Targets []string `json:"targets"`
	Labels  Labels   `json:"labels"`
}

// Labels describe the targets of a group.
type Labels struct {
	ID    string `json:"instance_id"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Client implements external.InstanceList.
type Client struct {
	url  string
	http *http.Client
}

// New makes a client for the list's URL.
func New(url string, transport http.RoundTripper) *Client {
	return &Client{url: url, http: &http.Client{Timeout: defaultTimeout, Transport: httpcheck.Transport(transport)}}
}

// Instances implements external.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]external.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "making the list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "reading the instance list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("reading the instance list: status %d", resp.StatusCode)
	}
	var groups []Group
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&groups); err != nil {
		return nil, eris.Wrap(err, "decoding the instance list")
	}
	return flatten(groups), nil
}

func flatten(groups []Group) []external.Instance {
	var out []external.Instance
	for _, g := range groups {
		for _, t := range g.Targets {
			out = append(out, external.Instance{
				ID: g.Labels.ID, Zone: g.Labels.Zone, Addr: t, State: external.State(g.Labels.State),
			})
		}
	}
	return out
}
