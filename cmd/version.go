package cmd

import (
	"fmt"
	"runtime"

	"github.com/ledgemount/ledgemount/internal/buildinfo"
	"github.com/ledgemount/ledgemount/internal/compat"
)

type versionCmd struct{ env *env }

// Execute implements flags.Commander: it prints the build and the data formats that it can read and write.
func (c *versionCmd) Execute([]string) error {
	_, err := fmt.Fprintf(c.env.out, "ledgemount %s (%s) %s\nreads formats 1 to %d, writes %d\n",
		buildinfo.Version, buildinfo.Revision(), runtime.Version(), compat.Generation, compat.Generation)
	return err
}
