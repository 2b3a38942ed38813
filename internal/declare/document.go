package declare

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// DecodeDocument decodes the accepted configuration. It may have been written by another build.
func DecodeDocument(data []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, eris.Wrap(err, "decoding the configuration")
	}
	d.unknown = unknownFieldFaults(DecodeStrict(data, &Document{}))
	return d, nil
}

// unknownFieldFaults returns the faults of err that concern fields unknown to this build.
func unknownFieldFaults(err error) error {
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

// CheckWritable returns an error if a later build has written fields that this build does not support. A configuration
// written by this build would lose them.
func (d *Document) CheckWritable() error {
	if d.unknown == nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict,
		"the configuration was written by a later build; confirm the plan at an instance of that one: "+d.unknown.Error())
}
