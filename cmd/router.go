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

	Settings string             `long:"settings" description:"file with the router's settings (JSON); default: the platform's location"`
	Without  []router.Mechanism `long:"without" description:"mechanism to switch off, to measure its effect; may be given more than once"`
}

const (
	logBufferLines       = 4096 // lines waiting to be written; further lines are discarded
	settingsPollInterval = 2 * time.Second
	settingsWriteTime    = 2 * time.Second // for the platform to complete its settings file
	settingsReadInterval = 50 * time.Millisecond
	logCloseTimeout      = 200 * time.Millisecond // for the last lines of the log
)

// Execute implements flags.Commander: it runs one router until a signal arrives, then performs a planned stop.
func (c *routerCmd) Execute([]string) error {
	ignoreClosedOutput()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	file, err := c.findSettings()
	if err != nil {
		return err
	}
	set, notes, err := file.readAtStart(c.env.ctx)
	if err != nil {
		return err
	}
	set.Without = append(set.Without, c.Without...)
	if err := router.Check(set); err != nil {
		return err
	}
	limitMemory(set.Instance.MemoryMB)
	log, closeLog := newRouterLog(set, os.Stdout, os.Stderr)
	defer closeLog()
	logNotes(log, notes)
	libraryLog := log.With().Str("event", "library_message").Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog)
	r, err := router.New(c.env.ctx, set, platform.New(set), log)
	switch {
	case c.env.ctx.Err() != nil && err != nil:
		return nil //nolint:nilerr // stopped while it waited for an address
	case err != nil:
		return eris.Wrap(err, "starting the router")
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run(context.Background()) }()
	reload, stop := context.WithCancel(context.Background())
	defer stop()
	go watchSettings(reload, file, hangups, r, log)
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

// settingsFile is the path of a settings file and its format: the router's own, or the platform's.
type settingsFile struct {
	path     string
	platform bool // the file is in the platform's format
}

// findSettings returns the file that the command line names, or else the platform's.
func (c *routerCmd) findSettings() (settingsFile, error) {
	if c.Settings != "" {
		return settingsFile{path: c.Settings}, nil
	}
	if path := platform.SettingsPath(); path != "" {
		return settingsFile{path: path, platform: true}, nil
	}
	return settingsFile{}, eris.New("no settings file is named")
}

// read reads the file. For a file in the platform's format, it also returns notes on the fields.
func (f settingsFile) read() (*router.Settings, []platform.Note, error) {
	if f.platform {
		return platform.ReadSettings(f.path)
	}
	set, err := router.Read(f.path)
	return set, nil, err
}

// readAtStart reads the file. The platform may still be writing its own, so that is read again until it is valid or
// settingsWriteTime has passed.
func (f settingsFile) readAtStart(ctx context.Context) (*router.Settings, []platform.Note, error) {
	for end := time.Now().Add(settingsWriteTime); ; {
		set, notes, err := f.read()
		if err == nil || !f.platform || time.Now().After(end) {
			return set, notes, err
		}
		select {
		case <-ctx.Done():
			return set, notes, err
		case <-time.After(settingsReadInterval):
		}
	}
}

// logNotes logs the platform's fields that are missing or invalid and have been replaced by defaults.
func logNotes(log zerolog.Logger, notes []platform.Note) {
	for _, n := range notes {
		if n.Status == platform.FieldDefaulted {
			log.Warn().Str("event", "setting_defaulted").Str("field", n.Field).Str("detail", n.Detail).Msg("setting not taken from the settings file; see detail")
		}
	}
}

// newRouterLog returns a logger that never blocks. It discards lines that exceed the buffer, and writes a line with their
// number to dropped. The returned function writes the remaining lines, within logCloseTimeout, and closes the logger.
func newRouterLog(set *router.Settings, w, dropped io.Writer) (zerolog.Logger, func()) {
	out := diode.NewWriter(w, logBufferLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(dropped, "{\"event\":\"log_lines_dropped\",\"lines\":%d}\n", missed)
	})
	return observe.Logger(out, set.Log.Level, set.Instance.ID, set.Instance.Zone), func() { closeWithin(out, logCloseTimeout) }
}

// closeWithin closes c, but waits no longer than d: the writer of a log that nobody reads blocks.
func closeWithin(c io.Closer, d time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = c.Close()
	}()
	select {
	case <-closed:
	case <-time.After(d):
	}
}

// watchSettings reloads the settings on a hangup signal and when the file has changed.
func watchSettings(ctx context.Context, file settingsFile, hangups <-chan os.Signal, r *router.Router, log zerolog.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	seen := modTime(file.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-t.C:
			if modTime(file.path).Equal(seen) {
				continue
			}
		}
		seen = modTime(file.path)
		set, notes, err := file.read()
		if err != nil {
			log.Error().Str("event", "settings_rejected").Err(err).Msg("settings rejected; the previous ones stay in force")
			continue
		}
		logNotes(log, notes)
		r.Reload(set)
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
