package cmd

import (
	"fmt"

	"github.com/ledgemount/ledgemount/internal/standin/bundle"
)

type standinCmd struct {
	env *env

	Settings string `long:"settings" required:"true" description:"file with the stand-ins' settings (JSON)"`
}

// Execute implements flags.Commander: it runs the stand-ins until a signal arrives.
func (c *standinCmd) Execute([]string) error {
	ignoreClosedOutput()
	s, err := bundle.Read(c.Settings)
	if err != nil {
		return err
	}
	b, err := bundle.Start(s)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.env.out, "stand-ins are up: store %s, list %s\n", s.Store, s.List)
	b.Run(c.env.ctx)
	return nil
}
