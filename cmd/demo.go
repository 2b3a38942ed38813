package cmd

import (
	"fmt"
	"time"

	"github.com/ledgemount/ledgemount/internal/demo"
)

type demoCmd struct {
	env *env

	Duration time.Duration `long:"duration" default:"5s" description:"how long callers send requests"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the random choices of the callers"`
	Faults   []string      `long:"fault" description:"fault to inject; may be given more than once; 'list' prints the names"`
	JSON     bool          `long:"json" description:"print the result as one JSON object"`
	Verbose  bool          `long:"verbose" description:"print the instances' logs to the error output"`
}

// Execute implements flags.Commander: it runs the demo, or prints the names of the faults.
func (c *demoCmd) Execute([]string) error {
	for _, f := range c.Faults {
		if f == "list" {
			for _, name := range demo.FaultNames() {
				_, _ = fmt.Fprintln(c.env.out, name)
			}
			return nil
		}
	}
	return demo.Run(c.env.ctx, demo.Config{
		Duration: c.Duration, Seed: c.Seed, Faults: c.Faults, JSON: c.JSON, Verbose: c.Verbose, Out: c.env.out, Log: c.env.err,
	})
}
