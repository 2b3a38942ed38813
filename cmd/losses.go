package cmd

import (
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/losses"
)

type lossesCmd struct {
	env *env

	JSON       bool   `long:"json" description:"print the tables as JSON"`
	MaxRows    int    `long:"most" default:"8" description:"maximum number of rows of a table"`
	StoreCalls bool   `long:"duties" description:"report calls to the store by purpose instead"`
	Plots      string `long:"plots" description:"directory for a plot by second"`
	Args       struct {
		Files []string `positional-arg-name:"LOG" description:"routers' logs; default: standard input"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander: it reports from the logs of several instances where requests failed or were late.
func (c *lossesCmd) Execute([]string) error {
	if c.StoreCalls {
		d := losses.NewStoreCalls()
		if err := c.readAll(d); err != nil {
			return err
		}
		return d.Write(c.env.out)
	}
	r := losses.NewReader()
	if err := c.readAll(r); err != nil {
		return err
	}
	report := r.Report()
	if report.All.Total() == 0 {
		return eris.New("no line tells of a request that has ended")
	}
	if c.Plots != "" {
		if err := report.Plot(c.Plots); err != nil {
			return err
		}
	}
	if c.JSON {
		return eris.Wrap(json.NewEncoder(c.env.out).Encode(report), "writing the tables")
	}
	return report.Write(c.env.out, c.MaxRows)
}

// logReader accumulates counts over several logs.
type logReader interface {
	Read(log io.Reader) error
}

// readAll reads the named logs, or standard input if none is named.
func (c *lossesCmd) readAll(r logReader) error {
	if len(c.Args.Files) == 0 {
		return r.Read(os.Stdin)
	}
	for _, name := range c.Args.Files {
		if err := readLog(r, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(r logReader, name string) error {
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "opening a log")
	}
	defer func() { _ = f.Close() }()
	return r.Read(f)
}
