package escrow

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats covers the data that instances of other builds read or have written.
func TestFormats(t *testing.T) {
	formattest.Check[Submission](t, "submission")
	formattest.Check[Receipt](t, "receipt")
	formattest.Check[Loan](t, "loan")
	formattest.Check[Repayment](t, "repayment")
	formattest.CheckWith(t, "page", formattest.Codec[*Page]{Encode: (*Page).Encode, Decode: DecodePage})
}
