package cmd

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/instance"
	"github.com/ledgemount/ledgemount/internal/observe"
	"github.com/ledgemount/ledgemount/internal/settings"
)

type serveCmd struct {
	env *env

	Settings string `long:"settings" required:"true" description:"file with the instance's settings (JSON)"`
}

// Execute implements flags.Commander: it runs one instance until a signal arrives, then performs a planned stop.
func (c *serveCmd) Execute([]string) error {
	ignoreClosedOutput()
	set, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	limitMemory(set.Instance.MemoryMB)
	log := observe.Logger(os.Stderr, set.Log.Level, set.Instance.ID, set.Instance.Zone)
	in, err := instance.New(set, instance.WithLogger(log))
	if err != nil {
		return eris.Wrap(err, "starting the instance")
	}
	ended := make(chan error, 1)
	go func() { ended <- in.Run(context.Background()) }()
	select {
	case err := <-ended:
		return err
	case <-c.env.ctx.Done():
	}
	log.Info().Str("event", "instance_stopping").Msg("planned stop")
	ctx, cancel := context.WithTimeout(context.Background(), set.Stop.Within)
	defer cancel()
	if err := in.Stop(ctx); err != nil {
		return eris.Wrap(err, "stopping")
	}
	log.Info().Str("event", "instance_stopped").Msg("instance stopped")
	return <-ended
}
