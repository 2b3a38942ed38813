package reach

import (
	"context"
	"net"
	"time"

	"github.com/ledgemount/ledgemount/internal/cleaneof"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// Dialer establishes connections to endpoints by address for clients that choose no path themselves: directly, or
// through another instance while the path is lost.
type Dialer struct {
	dial    upstream.DialFunc
	find    func(addr string) (pool.Endpoint, bool)
	monitor *Monitor
	onReset func()
}

// NewDialer returns a Dialer. find returns the endpoint at an address; onReset closes the idle connections of the client.
func NewDialer(dial upstream.DialFunc, find func(addr string) (pool.Endpoint, bool), onReset func()) *Dialer {
	return &Dialer{dial: dial, find: find, onReset: onReset}
}

// SetMonitor sets the monitor of paths. It must be called before the first connection is established.
func (d *Dialer) SetMonitor(m *Monitor) { d.monitor = m }

// DialContext establishes a connection to an address.
func (d *Dialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	e, known := d.find(addr)
	if known && d.monitor.State(e.Service, e.ID) == Forwarded {
		conn, _, err := d.monitor.Connect(ctx, e.Service, e.ID)
		return conn, err
	}
	conn, err := d.Connect(ctx, addr)
	if err == nil {
		return cleaneof.New(conn), nil
	}
	if !known || ctx.Err() != nil || d.monitor.Verify(ctx, e.Service, e.ID) != Forwarded {
		return nil, err
	}
	conn, _, err = d.monitor.Connect(ctx, e.Service, e.ID)
	return conn, err
}

// directTimeout is the timeout for establishing a direct connection.
const directTimeout = time.Second

// Connect implements Connector.
func (d *Dialer) Connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return d.dial(ctx, addr)
}

// Probe implements Client. The connection is not kept, since the client cannot take it over.
func (d *Dialer) Probe(ctx context.Context, addr string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.dial(ctx, addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// CloseIdle implements Client. It closes the idle connections to all addresses.
func (d *Dialer) CloseIdle(string) { d.onReset() }
