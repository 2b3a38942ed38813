package feed

import (
	"context"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/packed"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/route"
)

// Follower returns the changes that it has followed. follow.Follower implements it.
type Follower interface {
	UpdateSince(since follow.Cursor) (follow.Update, bool)
}

// Serve answers the update requests of other instances from the data of a follower and a directory.
func Serve(router *mesh.Router, f Follower, dir *peers.Directory, epochs *external.Epochs) {
	s := &server{follower: f, dir: dir, epochs: epochs}
	mesh.Handle(router, KindUpdate, s.handleUpdate)
}

type server struct {
	follower Follower
	dir      *peers.Directory
	epochs   *external.Epochs

	mu     sync.Mutex
	config encoded // keyed by its version
	all    encoded // all endpoints, keyed by the store's revision
	// changed holds encoded changes by the revision since which they were requested. They reach up to changedAt.
	changed   map[int64][]byte
	changedAt int64
}

// encoded is a value that is encoded once for many instances.
type encoded struct {
	data    []byte // nil: none
	version int64  // version or revision of the encoded value
	builtAt time.Time
}

func (s *server) handleUpdate(_ context.Context, _ mesh.Peer, req updateRequest) (updateReply, error) {
	reply, err := s.update(req)
	if err != nil || !req.WantPeers {
		return reply, err
	}
	reply.PeersVersion, reply.Peers, err = s.dir.List(req.PeersVersion)
	return reply, err
}

// update answers a request without the list of instances.
func (s *server) update(req updateRequest) (updateReply, error) {
	if req.Epoch > 0 && s.epochs.Observe(req.Epoch, 0) != nil {
		req.At = 0 // the requester follows an earlier epoch and needs everything
	}
	present := s.epochs.Current()
	since := req.cursor(present)
	u, ok := s.follower.UpdateSince(since)
	if !ok || external.EpochOf(u.At) < present {
		return updateReply{}, nil
	}
	maxAge := maxLeaderAge
	if s.dir.HasRelays() {
		maxAge = maxRelayAge
	}
	if u.Age > maxAge {
		return updateReply{Known: true, AgeMs: u.Age.Milliseconds()}, nil // too old for any requester
	}
	epoch := external.EpochOf(u.At)
	reply := updateReply{
		Known: true, At: external.NumberOf(u.At), ConfigAt: numberIn(epoch, u.ConfigAt), Complete: u.Complete, Endpoints: u.Endpoints, Removed: u.Removed,
		AgeMs: u.Age.Milliseconds(), OperatorAt: numberIn(epoch, u.OperatorAt), Evacuated: u.Evacuated.Zones, Epoch: epoch,
	}
	var err error
	if u.Complete {
		reply.Endpoints = nil
		var at int64
		if reply.All, at, err = s.encodedEndpoints(u, since.At); err != nil {
			return updateReply{}, err
		}
		reply.At = external.NumberOf(at)
	}
	if req.Unpacks && len(reply.Endpoints) >= minPacked {
		if reply.Packed, err = s.packedChanges(u, since.At); err != nil {
			return updateReply{}, err
		}
		reply.Endpoints = nil
	}
	if u.Config != nil {
		reply.Config, err = s.encodedConfig(u.Config)
	}
	return reply, err
}

// packedChanges returns the encoded changes of an update since a revision. Requesters that are up to date ask for the
// same changes, which are encoded once for all of them.
func (s *server) packedChanges(u follow.Update, since int64) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil || s.changedAt != u.At {
		s.changed, s.changedAt = make(map[int64][]byte), u.At
	}
	if data := s.changed[since]; data != nil {
		return data, nil
	}
	data, err := packed.Encode(u.Endpoints)
	if err == nil {
		s.changed[since] = data
	}
	return data, err
}

// encodedEndpoints returns an encoded list of all endpoints and its revision. The list is shared by all requests within
// listCacheTime. Requesters ask for the changes since that revision next. The list is rebuilt if it is older than what
// the requester has already seen.
func (s *server) encodedEndpoints(u follow.Update, minRevision int64) (all []byte, at int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all.data == nil || time.Since(s.all.builtAt) > listCacheTime || s.all.version < minRevision || external.EpochOf(s.all.version) != external.EpochOf(u.At) {
		if s.all, err = newEncoded(u.Endpoints, u.At); err != nil {
			return nil, 0, err
		}
	}
	return s.all.data, s.all.version, nil
}

// encodedConfig returns the encoded configuration, which is encoded once for all requesters.
func (s *server) encodedConfig(c *route.Config) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.config.data == nil || s.config.version != c.Version {
		s.config, err = newEncoded(c, c.Version)
	}
	return s.config.data, err
}

// newEncoded encodes a value that has the given version or revision.
func newEncoded(v any, version int64) (encoded, error) {
	data, err := packed.Encode(v)
	if err != nil {
		return encoded{}, err
	}
	return encoded{data: data, version: version, builtAt: time.Now()}, nil
}
