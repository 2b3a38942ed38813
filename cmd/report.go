package cmd

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/burn"
)

type reportCmd struct {
	env *env
	apiClient

	JSON     bool   `long:"json" description:"print the report as JSON"`
	HTML     string `long:"html" description:"file to write the report to, as a self-contained HTML page"`
	Snapshot string `long:"snapshot" description:"report saved with --json, to read instead of querying an instance"`
	Args     struct {
		What string `positional-arg-name:"WHAT" description:"burn"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander: it prints the report of an instance or of a snapshot.
func (c *reportCmd) Execute([]string) error {
	if c.Args.What != "burn" {
		return eris.Errorf("there is no report %q; try burn", c.Args.What)
	}
	data, err := c.data()
	if err != nil {
		return err
	}
	var r burn.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return eris.Wrap(err, "decoding the report")
	}
	if c.HTML != "" {
		if err := writeHTML(c.HTML, r); err != nil {
			return err
		}
	}
	if c.JSON {
		_, err := c.env.out.Write(data)
		return err
	}
	return r.Text(c.env.out)
}

// data returns the report as JSON.
func (c *reportCmd) data() ([]byte, error) {
	if c.Snapshot != "" {
		data, err := os.ReadFile(c.Snapshot)
		return data, eris.Wrap(err, "reading the snapshot")
	}
	return c.call(c.env.ctx, http.MethodGet, "/v1/burn", nil)
}

func writeHTML(path string, r burn.Report) error {
	f, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "writing the page")
	}
	if err := r.HTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "writing the page")
}
