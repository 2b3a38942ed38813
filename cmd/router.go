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

	Settings string             `long:"settings" description:"file with the router's settings (JSON); default: where the platform lays it"`
	Without  []router.Mechanism `long:"without" description:"mechanism to switch off, to measure what it is worth; may be given several times"`
}

const (
	logLines    = 4096 // lines that wait to be written before some are dropped
	settingsAge = 2 * time.Second
)

// Execute implements flags.Commander: it runs one router until a signal, then stops it as planned.
func (c *routerCmd) Execute([]string) error {
	file, err := c.file()
	if err != nil {
		return err
	}
	set, notes, err := file.read()
	if err != nil {
		return err
	}
	set.Without = append(set.Without, c.Without...)
	if err := router.Check(set); err != nil {
		return err
	}
	log, closeLog := routerLog(set, os.Stdout, os.Stderr)
	defer closeLog()
	logNotes(log, notes)
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
	go followSettings(reload, file, r, log)
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

// settingsFile is where the settings lie: in the product's own form, or as the platform lays them.
type settingsFile struct {
	path     string
	platform bool
}

func (c *routerCmd) file() (settingsFile, error) {
	if c.Settings != "" {
		return settingsFile{path: c.Settings}, nil
	}
	if path := platform.SettingsPath(); path != "" {
		return settingsFile{path: path, platform: true}, nil
	}
	return settingsFile{}, eris.New("no settings file is named")
}

// read reads the file; notes tell of the platform's fields.
func (f settingsFile) read() (*router.Settings, []platform.Note, error) {
	if f.platform {
		return platform.ReadSettings(f.path)
	}
	set, err := router.Read(f.path)
	return set, nil, err
}

// logNotes reports the platform's fields that are missing or cannot be right.
func logNotes(log zerolog.Logger, notes []platform.Note) {
	for _, n := range notes {
		if n.Status == platform.FieldDefaulted {
			log.Warn().Str("event", "setting_defaulted").Str("field", n.Field).Str("detail", n.Detail).Msg("a setting is not usable")
		}
	}
}

// routerLog writes lines without ever blocking: what does not fit is dropped, and told in a line to dropped.
func routerLog(set *router.Settings, w, dropped io.Writer) (zerolog.Logger, func()) {
	out := diode.NewWriter(w, logLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(dropped, "{\"event\":\"log_lines_dropped\",\"lines\":%d}\n", missed)
	})
	return observe.Logger(out, set.Log.Level, set.Instance.ID, set.Instance.Zone), func() { _ = out.Close() }
}

// followSettings reads the settings again when a signal says so and when the file has changed.
func followSettings(ctx context.Context, file settingsFile, r *router.Router, log zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	t := time.NewTicker(settingsAge)
	defer t.Stop()
	seen := modified(file.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
			if modified(file.path).Equal(seen) {
				continue
			}
		}
		seen = modified(file.path)
		set, notes, err := file.read()
		if err != nil {
			log.Error().Str("event", "settings_rejected").Err(err).Msg("the settings in force hold")
			continue
		}
		logNotes(log, notes)
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
