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

	JSON   bool   `long:"json" description:"print the tables as JSON"`
	Most   int    `long:"most" default:"8" description:"rows of a table"`
	Duties bool   `long:"duties" description:"tell of calls to the store, by what they were for, instead"`
	Plots  string `long:"plots" description:"directory into which a plot by second is drawn"`
	Args   struct {
		Files []string `positional-arg-name:"LOG" description:"routers' logs; default: standard input"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander: it tells where requests were lost or late, from the logs of several instances.
func (c *lossesCmd) Execute([]string) error {
	if c.Duties {
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
	return report.Write(c.env.out, c.Most)
}

// logReader counts what logs tell.
type logReader interface {
	Read(log io.Reader) error
}

// readAll reads the logs that were named, or standard input.
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
