// Command ledgemount routes requests to model endpoints under prepaid token budgets.
package main

import (
	"os"

	"github.com/ledgemount/ledgemount/cmd"
	_ "github.com/ledgemount/ledgemount/internal/earlysignal" // signals that arrive during the start
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
