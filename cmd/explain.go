package cmd

import (
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/router"
)

type explainCmd struct {
	env *env

	JSON bool `long:"json" description:"print the lines about the request as JSON"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"true"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander: it explains the course of one request from the logs of several instances.
func (c *explainCmd) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return eris.Errorf("no line tells of request %s", c.Args.Request)
	}
	if c.JSON {
		return eris.Wrap(json.NewEncoder(c.env.out).Encode(lines), "writing the lines")
	}
	return router.Explain(c.env.out, lines)
}

// read reads the request's lines from the named files, or from standard input if none is named.
func (c *explainCmd) read() ([]router.Line, error) {
	if len(c.Args.Files) == 0 {
		return router.ReadLines(os.Stdin, c.Args.Request)
	}
	var out []router.Line
	for _, name := range c.Args.Files {
		lines, err := readFile(name, c.Args.Request)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readFile(name, request string) ([]router.Line, error) {
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "opening a log")
	}
	defer func(c io.Closer) { _ = c.Close() }(f)
	return router.ReadLines(f, request)
}
