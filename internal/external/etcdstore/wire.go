package etcdstore

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/ledgemount/ledgemount/internal/external"
)

// The gateway's paths.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathLease     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// The comparison used for compare-and-swap.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Int64 is encoded as a JSON string, as the JSON mapping of protobuf requires. It decodes from numbers, too.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*i = Int64(n)
	return err
}

// Header is part of each response.
type Header struct {
	Revision Int64 `json:"revision"`
}

// KV is a key with its value.
type KV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision Int64  `json:"mod_revision,omitempty"`
	Lease       Int64  `json:"lease,omitempty"`
}

func (kv KV) entry() external.Entry {
	return external.Entry{Key: string(kv.Key), Data: kv.Value, Revision: int64(kv.ModRevision)}
}

// RangeRequest reads a key, or the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	KVs    []KV   `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision Int64  `json:"mod_revision"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put         *PutRequest    `json:"request_put,omitempty"`
	DeleteRange *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if every comparison holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// LeaseRequest creates or renews a lease. TTL is in seconds.
type LeaseRequest struct {
	ID  Int64 `json:"ID,omitempty"`
	TTL Int64 `json:"TTL,omitempty"`
}

// LeaseResponse answers a LeaseRequest that created a lease.
type LeaseResponse struct {
	ID  Int64 `json:"ID"`
	TTL Int64 `json:"TTL"`
}

// KeepAliveResponse answers a renewal; a TTL of 0 means that the lease has ended.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the key and the first revision to send.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the events of one message.
type WatchResult struct {
	Header Header  `json:"header"`
	Events []Event `json:"events,omitempty"`
}

// Event is one change of a watched key.
type Event struct {
	Type string `json:"type,omitempty"`
	KV   KV     `json:"kv"`
}

// PrefixEnd returns the end of the range of keys that begin with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

var _ json.Marshaler = Int64(0)
