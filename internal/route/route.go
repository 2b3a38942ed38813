// Package route holds the routing configuration: which service serves a host and path, under which limits and for which
// customers.
package route

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// Kind determines whether a request may run more than once.
type Kind int

// Kinds of requests. The zero value is the most restrictive one.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // responds with a stream of events; runs at most once unless its route is resumable
)

var kindNames = map[Kind]string{Unsafe: "unsafe", Safe: "safe", Streaming: "streaming"}

// String returns the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Share is one service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests with a host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum duration of a request; 0: no limit
	Objective   time.Duration // target latency of a response, or of the first event of a stream
	Gap         time.Duration // target for the longest pause between events; 0: none stated
	Priority    int           // 0 is highest
	Split       []Share
	MaxAttempts int      // endpoints to which one request may be sent
	Public      bool     // requests need no key
	Resumable   bool     // a stream may be resumed at another endpoint
	Regions     []string // regions in which requests may run; nil: all
}

// Allows reports whether the route may choose a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Streaming && r.Resumable) }

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int              // connections that an endpoint accepts from all callers
	Stride     int64            // tokens in an event of a stream; 0: the service generates no tokens
	Memory     int64            // tokens that fit into an endpoint's prompt cache; 0: unknown
	Slots      int              // requests that an endpoint processes concurrently; 0: unknown
	Warmup     slowstart.Warmup // of endpoints that have just started
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// NoPriority is the priority of a customer that states none. Its requests have the priority of their route.
const NoPriority = -1

// Unlimited is the prepaid amount of a customer without a token budget.
const Unlimited = -1

// Customer is the party that pays for requests.
type Customer struct {
	Name     string
	Keys     []string
	Priority int      // stated priority, or NoPriority
	Prepaid  int64    // prepaid tokens, or Unlimited
	Regions  []string // regions in which requests may run; nil: all
}

// AllowedRegions returns the regions in which a customer's requests to a route may run: those that both the route and
// the customer allow. A nil result means all regions, an empty one means none. The customer may be nil.
func AllowedRegions(r *Route, c *Customer) []string {
	switch {
	case c == nil || c.Regions == nil:
		return r.Regions
	case r.Regions == nil:
		return c.Regions
	}
	allowed := make([]string, 0, len(r.Regions))
	for _, region := range r.Regions {
		if slices.Contains(c.Regions, region) {
			allowed = append(allowed, region)
		}
	}
	return allowed
}

// Config is one version of the routing configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Keyed     bool // requests need a key unless their route is public
	Customers []Customer
}

// Table is a compiled Config. It is immutable.
type Table struct {
	cfg      Config
	hosts    map[string][]*Route // by host; longest prefix first
	services map[string]*Service
	keys     map[string]*Customer
	names    map[string]*Customer
}

// Compile validates a configuration and indexes it for look-ups. The error names the invalid field.
func Compile(cfg Config) (*Table, error) {
	t := &Table{
		cfg:      cfg,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(cfg.Services)),
		keys:     make(map[string]*Customer),
		names:    make(map[string]*Customer, len(cfg.Customers)),
	}
	for i := range t.cfg.Services {
		t.services[t.cfg.Services[i].Name] = &t.cfg.Services[i]
	}
	for i := range t.cfg.Routes {
		if err := t.addRoute(&t.cfg.Routes[i]); err != nil {
			return nil, eris.Wrapf(err, "routes[%d]", i)
		}
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.cfg.Customers {
		if err := t.addCustomer(&t.cfg.Customers[i]); err != nil {
			return nil, eris.Wrapf(err, "customers[%d]", i)
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	}
	if len(r.Split) == 0 {
		return eris.New("service: at least one is required")
	}
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return eris.Errorf("service %q is not declared", s.Service)
		}
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	host := hostOnly(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

func (t *Table) addCustomer(c *Customer) error {
	if c.Name == "" {
		return eris.New("name is empty")
	}
	if t.names[c.Name] != nil {
		return eris.Errorf("name %q is used twice", c.Name)
	}
	t.names[c.Name] = c
	for _, k := range c.Keys {
		t.keys[k] = c
	}
	return nil
}

func hostOnly(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

// Version returns the configuration's version. Versions only increase.
func (t *Table) Version() int64 { return t.cfg.Version }

// Limits returns the limits on what a caller may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Keyed reports whether requests need a key.
func (t *Table) Keyed() bool { return t.cfg.Keyed }

// Warmups returns the slow-start settings for endpoints that have just started, by service.
func (t *Table) Warmups() map[string]slowstart.Warmup {
	out := make(map[string]slowstart.Warmup, len(t.services))
	for name, s := range t.services {
		out[name] = s.Warmup
	}
	return out
}

// Connections returns the maximum number of connections that an endpoint accepts from all callers together, by
// service; 0 if the service states none.
func (t *Table) Connections() map[string]int {
	out := make(map[string]int, len(t.services))
	for name, s := range t.services {
		out[name] = s.MaxConns
	}
	return out
}

// StreamTimeouts returns the time limits of the routes whose streams may be resumed; 0 means none.
func (t *Table) StreamTimeouts() []time.Duration {
	var out []time.Duration
	for i := range t.cfg.Routes {
		if r := &t.cfg.Routes[i]; r.Kind == Streaming && r.Resumable {
			out = append(out, r.Timeout)
		}
	}
	return out
}

// Customers returns all customers.
func (t *Table) Customers() []Customer { return t.cfg.Customers }

// Match returns the route of a host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[hostOnly(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service looks up a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// CustomerByKey looks up the customer that owns a key.
func (t *Table) CustomerByKey(key string) (*Customer, bool) {
	c, ok := t.keys[key]
	return c, ok
}

// Customer looks up a customer by name.
func (t *Table) Customer(name string) (*Customer, bool) {
	c, ok := t.names[name]
	return c, ok
}

// Choose picks a service of the split by weight. random is a number in [0, 1).
func (r *Route) Choose(random float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	left := int(random * float64(total))
	for _, s := range r.Split {
		left -= max(0, s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}
