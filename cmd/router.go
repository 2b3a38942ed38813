package cmd

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/ledgemount/ledgemount/internal/observe"
	"github.com/ledgemount/ledgemount/internal/router"
	"github.com/ledgemount/ledgemount/platform"
)

type routerCmd struct {
	env *env

	Settings string `long:"settings" description:"file with the router's settings (JSON); default: where the platform lays it"`
}

const (
	logLines    = 4096 // lines that wait to be written before some are dropped
	settingsAge = 2 * time.Second
)

// Execute implements flags.Commander: it runs one router until a signal, then stops it as planned.
func (c *routerCmd) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return eris.New("no settings file is named")
	}
	set, err := router.Read(path)
	if err != nil {
		return err
	}
	log, closeLog := routerLog(set, os.Stdout, os.Stderr)
	defer closeLog()
	lines := log.With().Str("event", "library_message").Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(lines)
	r, err := router.New(set, platform.New(set), log)
	if err != nil {
		return eris.Wrap(err, "starting the router")
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run(context.Background()) }()
	reload, stop := context.WithCancel(context.Background())
	defer stop()
	go followSettings(reload, path, r, log)
	select {
	case err := <-ended:
		return err
	case <-c.env.ctx.Done():
	}
	if err := r.Stop(); err != nil {
		return eris.Wrap(err, "stopping")
	}
	return <-ended
}

// routerLog writes lines without ever blocking: what does not fit is dropped, and told in a line to dropped.
func routerLog(set *router.Settings, w, dropped io.Writer) (zerolog.Logger, func()) {
	out := diode.NewWriter(w, logLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(dropped, "{\"event\":\"log_lines_dropped\",\"lines\":%d}\n", missed)
	})
	return observe.Logger(out, set.Log.Level, set.Instance.ID, set.Instance.Zone), func() { _ = out.Close() }
}

// followSettings reads the settings again when a signal says so and when the file has changed.
func followSettings(ctx context.Context, path string, r *router.Router, log zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	t := time.NewTicker(settingsAge)
	defer t.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
			if modified(path).Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		set, err := router.Read(path)
		if err != nil {
			log.Error().Str("event", "settings_rejected").Err(err).Msg("the settings in force hold")
			continue
		}
		r.Reload(set)
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
