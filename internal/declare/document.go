package declare

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// DecodeDocument reads the accepted configuration, as this build or another one has written it.
func DecodeDocument(data []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, eris.Wrap(err, "decoding the configuration")
	}
	d.beyond = unknownOf(DecodeStrict(data, &Document{}))
	return d, nil
}

// unknownOf are those faults of an input that are fields which this build does not know.
func unknownOf(err error) error {
	var all, out Faults
	if errors.As(err, &all) {
		for _, f := range all {
			if f.Detail == unknownField {
				out = append(out, f)
			}
		}
	}
	return out.OrNil()
}

// CheckWritable reports why this build must not write the next configuration: it would lose what a later one has declared.
func (d *Document) CheckWritable() error {
	if d.beyond == nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict,
		"the configuration was written by a later build; confirm the plan at an instance of that one: "+d.beyond.Error())
}
