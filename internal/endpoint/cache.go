package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
)

// KVCache moves blocks of prompt caches between engines.
type KVCache interface {
	// ExportKV reads the content of a block from an engine.
	ExportKV(ctx context.Context, base string, block uint64) ([]byte, error)
	// ImportKV writes the content of a block to an engine.
	ImportKV(ctx context.Context, base string, block uint64, data []byte) error
}

var _ KVCache = (*Driver)(nil)

const (
	maxBlockBytes = 64 << 20
	hexBase       = 16
)

// CacheEvents returns the events of an engine's prompt cache that follow sequence number after.
func (d *Driver) CacheEvents(ctx context.Context, base string, after int64) ([]wire.CacheEvent, error) {
	var out wire.CacheEvents
	u := base + wire.PathEvents + "?after=" + strconv.FormatInt(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "making the events request")
	}
	return out.Events, eris.Wrap(d.json(req, &out), "reading cache events")
}

func blockURL(base string, block uint64) string {
	return base + wire.PathKV + strconv.FormatUint(block, hexBase)
}

// ExportKV implements KVCache.
func (d *Driver) ExportKV(ctx context.Context, base string, block uint64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, blockURL(base, block), http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "making the export request")
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "exporting a cache block")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBlockBytes))
	return data, eris.Wrap(err, "reading a cache block")
}

// ImportKV implements KVCache.
func (d *Driver) ImportKV(ctx context.Context, base string, block uint64, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, blockURL(base, block), bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "making the import request")
	}
	return eris.Wrap(d.json(req, nil), "importing a cache block")
}
