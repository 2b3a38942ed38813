package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Forwarders returns up to n random instances through which this one may reach endpoints: half of them of the own zone,
// which is nearest, and the others of other zones, since a whole zone may have lost its path. Instances that are not
// suspected go first. allowed limits the zones.
func (d *Directory) Forwarders(n int, allowed func(zone string) bool) []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil
	}
	near, far := d.recentCallers(allowed)
	for zone, records := range d.zones {
		switch {
		case zone == d.self.Peer.Zone:
			near = d.sample(near, records, n)
		case allowed(zone):
			far = d.sample(far, records, n)
		}
	}
	for _, list := range [][]mesh.Peer{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	out := d.unsuspectedFirst(near)
	out = out[:min(len(out), max(n/2, n-len(far)))]
	return append(out, d.unsuspectedFirst(far)[:min(len(far), n-len(out))]...)
}

// sample appends up to n random instances of a list to out, without this instance and the recent callers. The caller
// holds mu.
func (d *Directory) sample(out []mesh.Peer, list []Record, n int) []mesh.Peer {
	start := rand.IntN(max(1, len(list)))
	for i := range list {
		p := list[(start+i)%len(list)].Peer
		if _, called := d.callers[p.ID]; n > 0 && p.ID != d.self.Peer.ID && !called {
			out = append(out, p)
			n--
		}
	}
	return out
}

// unsuspectedFirst moves suspected instances to the end of a list. The caller holds mu.
func (d *Directory) unsuspectedFirst(list []mesh.Peer) []mesh.Peer {
	slices.SortStableFunc(list, func(a, b mesh.Peer) int {
		switch sa, sb := d.suspected(a.ID), d.suspected(b.ID); {
		case sa == sb:
			return 0
		case sa:
			return 1
		}
		return -1
	})
	return list
}

// Tunnel has an instance establish a connection, and returns its near end. A failure does not make the instance suspect,
// since the connection may be what took too long.
func Tunnel[Req any](ctx context.Context, d *Directory, to mesh.Peer, kind mesh.Kind, req Req) (net.Conn, error) {
	c := d.caller.Load()
	if c == nil {
		return nil, eris.Wrap(mesh.ErrUnreachable, "no links are open")
	}
	t, ok := (*c).(mesh.Tunneler)
	if !ok {
		return nil, eris.Wrap(mesh.ErrUnreachable, "the links carry no tunnels")
	}
	return mesh.Tunnel(ctx, t, to.Addr, kind, req)
}
