package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/declare"
)

// TestBrokenSettings compares the faults of each invalid file with its golden file. The flag -update rewrites these.
func TestBrokenSettings(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Decode(data)
			var faults declare.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("want faults, got %v", err)
			}
			lines := make([]string, len(faults))
			for i, f := range faults {
				lines[i] = f.Path + ": " + f.Detail
			}
			g.Assert(t, name, []byte(strings.Join(lines, "\n")+"\n"))
		})
	}
}

func TestExamples(t *testing.T) {
	Convey("The example settings have no faults, and fields that they leave out have defaults", t, func() {
		data, err := os.ReadFile("../../examples/a-1.json")
		So(err, ShouldBeNil)
		s, err := Decode(data)
		So(err, ShouldBeNil)
		So(s.Stop.Within, ShouldEqual, Defaults().Stop.Within)
		So(s.Instance.ID, ShouldEqual, "a-1")
	})
}

// TestReference compares the defaults with docs/operators/settings-defaults.golden.json, the reference of all settings.
func TestReference(t *testing.T) {
	b, err := json.MarshalIndent(Defaults(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs/operators"), goldie.WithNameSuffix(".golden.json")).Assert(t, "settings-defaults", append(b, '\n'))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"instance":{"id":1},"x":[{}]}`))
	f.Add([]byte(`{"budget":{"flush":"-1s"}}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode(data) })
}
