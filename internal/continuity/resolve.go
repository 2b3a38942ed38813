package continuity

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// Source states how the origin of a stream became known, for logs and metrics.
type Source string

// Sources.
const (
	SourceLocal   Source = "local" // this instance forwarded the first event, or has received the origin
	SourcePeer    Source = "peer"  // another instance had the origin
	SourceSole    Source = "sole"  // all streams of the service began at one version
	SourceStore   Source = "store" // the store had the origin
	SourceUnknown Source = "unknown"
)

// Resolution is the software version at which an interrupted stream has to continue.
type Resolution struct {
	Software string // empty: not known
	Service  string // at which the stream began; empty: not known
	Source   Source
	Age      time.Duration // of the stream; 0: not known
	// Conclusive is set if all instances that may have the origin were asked and answered. Otherwise it may become known
	// later.
	Conclusive bool
}

// Resolve determines the software version at which a stream began. request is the ID of the request that brought its first
// event; empty: not stated.
func (r *Replicator) Resolve(ctx context.Context, service, customer, request string) Resolution {
	key := KeyOf(customer, request)
	if res, ok := r.known(key, SourceLocal); ok {
		return res
	}
	replies, asked := r.lookUp(ctx, lookupRequest{Key: key[:], Service: service})
	complete := asked > 0 && len(replies) == asked && !r.dir.NotifyTargetUnreachable()
	res := decide(append(replies, lookupReply{Sole: r.ownSole(service, complete)}))
	switch res.Source {
	case SourcePeer:
		r.tracker.Put(key, Origin{Service: res.Service, Software: res.Software, Began: r.tracker.now().Add(-res.Age)})
	case SourceUnknown:
		if complete {
			res.Conclusive = true
			return res
		}
		return r.resolveByStore(ctx, key, res)
	case SourceSole, SourceLocal, SourceStore:
	}
	return res
}

// ownSole returns the only version of a service as this instance has observed it, or an empty string. If not all
// others have answered, this instance may be cut off, and its list must be recent.
func (r *Replicator) ownSole(service string, complete bool) string {
	if complete {
		software, _ := r.tracker.Sole(service)
		return software
	}
	return r.tracker.recentSole(service)
}

// resolveByStore looks for an origin in the store, which has those that could not be sent to other instances. Those
// of a large fleet are too many to be read for one request.
func (r *Replicator) resolveByStore(ctx context.Context, key Key, unknown Resolution) Resolution {
	if r.dir.Large() {
		return unknown
	}
	r.readOrigins(ctx)
	if res, ok := r.known(key, SourceStore); ok {
		return res
	}
	return unknown
}

// known returns the resolution of a stream whose origin this instance has.
func (r *Replicator) known(key Key, source Source) (Resolution, bool) {
	o, ok := r.tracker.Origin(key)
	return Resolution{Service: o.Service, Software: o.Software, Source: source, Age: r.tracker.now().Sub(o.Began)}, ok
}

// decide combines the replies of instances, this one included. An origin is certain. Without one, a service's only version
// counts, unless two instances name different ones: one of them does not know the newest version yet.
func decide(replies []lookupReply) Resolution {
	for _, reply := range replies {
		if reply.Software != "" {
			return Resolution{
				Service: reply.Service, Software: reply.Software, Source: SourcePeer, Age: time.Duration(max(0, reply.AgeMs)) * time.Millisecond,
			}
		}
	}
	sole := ""
	for _, reply := range replies {
		switch {
		case reply.Sole == "":
		case sole != "" && sole != reply.Sole:
			return Resolution{Source: SourceUnknown}
		default:
			sole = reply.Sole
		}
	}
	if sole != "" {
		return Resolution{Software: sole, Source: SourceSole}
	}
	return Resolution{Source: SourceUnknown}
}

// lookUp asks the instances that may have the origin of a stream, and returns the replies of those that answered in
// time. It asks those of other zones of a large fleet only if none of the own zone has the origin.
func (r *Replicator) lookUp(ctx context.Context, req lookupRequest) (replies []lookupReply, asked int) {
	near, far := r.dir.CopyCandidates(Key(req.Key).String())
	replies, found := r.askAll(ctx, near, req)
	if found || len(far) == 0 {
		return replies, len(near)
	}
	more, _ := r.askAll(ctx, far, req)
	return append(replies, more...), len(near) + len(far)
}

// askAll asks instances at once. It returns as soon as one of them has the origin.
func (r *Replicator) askAll(ctx context.Context, list []mesh.Peer, req lookupRequest) (replies []lookupReply, found bool) {
	ctx = context.WithoutCancel(ctx) // a call that is cancelled would count as one that the other instance did not answer
	results := make(chan *lookupReply, len(list))
	for _, p := range list {
		go func() { results <- r.ask(ctx, p, req) }()
	}
	for range list {
		reply := <-results
		if reply == nil {
			continue
		}
		replies = append(replies, *reply)
		if reply.Software != "" {
			return replies, true
		}
	}
	return replies, false
}

// ask asks one instance. It returns nil if that instance does not answer.
func (r *Replicator) ask(ctx context.Context, to mesh.Peer, req lookupRequest) *lookupReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peers.Call[lookupRequest, lookupReply](ctx, r.dir, to, KindLookup, req)
	if err != nil {
		r.log.Debug().Str("event", "origin_unread").Str("peer", to.ID).Err(err).Msg("another instance was asked for the software version of a stream and did not answer")
		return nil
	}
	return &reply
}
