package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/router"
	"github.com/ledgemount/ledgemount/internal/settings"
	"github.com/ledgemount/ledgemount/platform"
)

type checkCmd struct {
	env *env

	Args struct {
		File string `positional-arg-name:"FILE" description:"settings, an intent, or a directory of declarations"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander: it prints every fault of a file, with the path of the field at fault.
func (c *checkCmd) Execute([]string) error {
	kind, notes, err := check(c.Args.File)
	for _, n := range notes {
		if _, err := fmt.Fprintf(c.env.out, "%s: %s: %s\n", n.Field, n.Status, n.Detail); err != nil {
			return eris.Wrap(err, "writing the notes")
		}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.out, "%s: %s, no faults\n", c.Args.File, kind)
	return err
}

// check returns the kind of a file and its faults. For settings in the platform's format, notes describe
// how each field is used.
func check(path string) (kind string, notes []platform.Note, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", nil, eris.Wrap(err, "checking")
	}
	if info.IsDir() {
		_, err := declare.ReadDir(os.DirFS(path))
		return "declarations", nil, err
	}
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return "", nil, eris.Wrap(err, "checking")
	}
	switch {
	case looksLikeIntent(data):
		return "intent", nil, checkIntent(data)
	case platform.LooksLikeSettings(data):
		_, notes, err = platform.DecodeSettings(data)
		return "settings of a router, as the platform lays them", notes, err
	case looksLikeRouter(data):
		_, err = router.Decode(data)
		return "settings of a router", nil, err
	}
	_, err = settings.Decode(data)
	return "settings", nil, err
}

// looksLikeRouter reports whether data holds a router's settings: unlike those of an instance, they have a store field.
func looksLikeRouter(data []byte) bool { return hasField(data, "store") }

// looksLikeIntent reports whether data holds an intent: settings have none of these fields.
func looksLikeIntent(data []byte) bool {
	return hasField(data, "apply", "replace", "remove", "drain", "activate", "move", "budgets")
}

// hasField reports whether data is a JSON object with at least one of the named fields.
func hasField(data []byte, names ...string) bool {
	var fields map[string]json.RawMessage
	if json.NewDecoder(bytes.NewReader(data)).Decode(&fields) != nil {
		return false
	}
	for _, name := range names {
		if _, ok := fields[name]; ok {
			return true
		}
	}
	return false
}

func checkIntent(data []byte) error {
	var in intent.Intent
	if err := declare.DecodeStrict(data, &in); err != nil {
		return err
	}
	if in.Replace != nil {
		return declare.Check(*in.Replace)
	}
	return nil
}
