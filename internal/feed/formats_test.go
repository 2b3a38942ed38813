package feed

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// TestFormats checks the encodings that instances of other builds read, or have written.
func TestFormats(t *testing.T) {
	formattest.Check[updateRequest](t, "question")
	formattest.Check[updateReply](t, "news")
	formattest.Check[route.Config](t, "config")
	formattest.Check[[]pool.Endpoint](t, "endpoints")
}
