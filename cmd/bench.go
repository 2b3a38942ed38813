package cmd

import "github.com/ledgemount/ledgemount/internal/bench"

type benchCmd struct {
	env *env

	JSON  bool     `long:"json" description:"print the result as one JSON object"`
	Only  []string `long:"only" description:"section to measure: routed, control, budget, balance, store; may be given more than once"`
	Plots string   `long:"plots" description:"directory for SVG plots of the measured slopes"`
}

// Execute implements flags.Commander: it runs the benchmark and prints the result.
func (c *benchCmd) Execute([]string) error {
	r, err := bench.Run(c.env.ctx, c.Only)
	if err != nil {
		return err
	}
	if c.Plots != "" {
		if err := r.Plots(c.Plots); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.JSON(c.env.out)
	}
	return r.Text(c.env.out)
}
