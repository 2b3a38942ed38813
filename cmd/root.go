// Package cmd implements the commands of the ledgemount program.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/demo"
	"github.com/ledgemount/ledgemount/internal/memory"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env holds the context and the outputs that every command gets.
type env struct {
	ctx context.Context //nolint:containedctx // go-flags' Execute takes no context
	out io.Writer
	err io.Writer
}

// Execute runs the command line and returns the exit code. SIGINT and SIGTERM cancel the command's context, and so does
// SIGHUP, unless the command reloads its settings on it.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if !reloadsOnHangup(args) {
		ctx, stop = signal.NotifyContext(ctx, syscall.SIGHUP)
		defer stop()
	}
	return execute(ctx, args, out, errOut)
}

// routerName is the name of the command that runs a router.
const routerName = "router"

func reloadsOnHangup(args []string) bool { return len(args) > 0 && args[0] == routerName }

// ignoreClosedOutput lets a server outlive the reader of its standard output or standard error. By default, a write to
// them then ends the process.
func ignoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// limitMemory makes the garbage collector work harder as the process approaches the memory of its machine; 0: unknown.
func limitMemory(machineMB int) {
	if limit := memory.SoftLimit(machineMB); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("ledgemount", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Routes requests to model endpoints under prepaid token budgets."
	e := &env{ctx: ctx, out: out, err: errOut}
	for _, c := range commands(e) {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.run); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return exitUsage
		}
	}
	_, err := p.ParseArgs(args)
	return printError(err, out, errOut)
}

// command is one subcommand: its name, its description and its implementation.
type command struct {
	name  string
	short string
	run   flags.Commander
}

// commands returns all subcommands.
func commands(e *env) []command {
	return []command{
		{"demo", "Run a small fleet in one process, inject faults and audit the result", &demoCmd{env: e}},
		{"serve", "Run one instance", &serveCmd{env: e}},
		{routerName, "Run one router instance on the users' platform", &routerCmd{env: e}},
		{"explain", "Explain the course of one request from the logs of routers", &explainCmd{env: e}},
		{"losses", "Report from the logs of routers where requests failed or were late", &lossesCmd{env: e}},
		{"standin", "Run the stand-ins of the platform and the endpoints", &standinCmd{env: e}},
		{"check", "Check settings or declarations", &checkCmd{env: e}},
		{"keys", "Create the fleet's certificates, or hash a key", &keysCmd{env: e}},
		{"plan", "Plan an intent or a directory of declarations", &planCmd{env: e}},
		{"confirm", "Confirm a plan", &confirmCmd{env: e}},
		{"show", "Show the state of the fleet", &showCmd{env: e}},
		{"bench", "Measure overhead and quality of service", &benchCmd{env: e}},
		{"report", "Report the error budget burn of service levels", &reportCmd{env: e}},
		{"version", "Print the version", &versionCmd{env: e}},
	}
}

// printError prints the error or the help text of a command and returns the exit code.
func printError(err error, out, errOut io.Writer) int {
	var fe *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, fe.Message)
		return exitOK
	case errors.As(err, &fe):
		_, _ = fmt.Fprintln(errOut, fe.Message)
		return exitUsage
	}
	var faults declare.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			_, _ = fmt.Fprintf(errOut, "%s: %s\n", f.Path, f.Detail)
		}
		return exitFailed
	}
	if !errors.Is(err, demo.ErrGuaranteeViolated) {
		_, _ = fmt.Fprintln(errOut, "ledgemount:", err)
	}
	return exitFailed
}
