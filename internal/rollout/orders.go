package rollout

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/step"
)

// OrdersName is the kernel service name of Orders.
const OrdersName = "rollout.orders"

const (
	ordersInterval = time.Second
	orderTimeout   = 2 * time.Second
)

// Commander sends an order to an endpoint.
type Commander interface {
	Order(ctx context.Context, url string, o wire.Order) error
}

// Orders sends the configuration's settings to the zone's endpoints that check fencing numbers. One instance of the
// zone owns each endpoint. It is safe if two instances both act as owner, because orders carry rising fencing numbers.
type Orders struct {
	feed      *Feed
	members   members
	commander Commander
	weights   external.WeightStore
	hook      step.Hook
	log       zerolog.Logger

	takenFences map[string]int64 // last fence that each endpoint has taken
}

// NewOrders makes the service.
func NewOrders(feed *Feed, m members, c Commander, weights external.WeightStore, hook step.Hook, log zerolog.Logger) *Orders {
	return &Orders{feed: feed, members: m, commander: c, weights: weights, hook: hook, log: log, takenFences: make(map[string]int64)}
}

// Name implements kernel.Service.
func (o *Orders) Name() string { return OrdersName }

// Run implements kernel.Service.
func (o *Orders) Run(ctx context.Context) error {
	kernel.Every(ctx, ordersInterval, o.Tick)
	return nil
}

// Tick sends the orders that are due one after another, so that loads of weights are staggered.
func (o *Orders) Tick(ctx context.Context) {
	doc := o.feed.Document()
	for name, e := range doc.Decl.Endpoints {
		fence := doc.Fences[name]
		if !e.ChecksFence || o.takenFences[name] >= fence || !isOwner(o.members, name, e.Zone) {
			continue
		}
		if err := o.giveOrder(ctx, doc, e, fence); err != nil {
			o.log.Warn().Str("event", "order_failed").Str("endpoint", name).Err(err).Msg("endpoint did not accept its order")
			continue
		}
		o.takenFences[name] = fence
		o.log.Info().Str("event", "order_taken").Str("endpoint", name).Int64("fence", fence).Msg("endpoint accepted its order")
	}
}

// isOwner reports whether this instance is the one of an endpoint's zone that communicates with the endpoint for all.
// It is safe if two instances both act as owner.
func isOwner(m members, endpoint, zone string) bool {
	self := m.Self()
	if zone != self.Zone {
		return false
	}
	p, ok := member.Top("endpoint/"+endpoint, m.Zone(), "")
	return ok && p.ID == self.ID
}

func (o *Orders) giveOrder(ctx context.Context, doc *declare.Document, e declare.Endpoint, fence int64) error {
	if err := o.hook(ctx, step.Drain); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if e.Version != "" {
		model := doc.Decl.Pools[e.Pool].Model
		if err := o.weights.Acquire(ctx, model, e.Version); err != nil {
			return err
		}
	}
	return o.commander.Order(ctx, e.URL, wire.Order{Fence: fence, Version: e.Version, Role: e.Role})
}
