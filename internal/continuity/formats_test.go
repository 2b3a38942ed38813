package continuity

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats checks the encodings that instances of other builds read.
func TestFormats(t *testing.T) {
	formattest.Check[originsMessage](t, "origins")
	formattest.Check[lookupRequest](t, "lookup")
	formattest.Check[lookupReply](t, "origin")
	formattest.Check[historyReply](t, "history")
	formattest.Check[storedOrigins](t, "stored-origins")
	formattest.Check[storedHistory](t, "stored-history")
}
