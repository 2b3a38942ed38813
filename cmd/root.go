// Package cmd has the commands.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/demo"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env is what every command is given.
type env struct {
	ctx context.Context //nolint:containedctx // go-flags' Execute takes no context
	out io.Writer
	err io.Writer
}

// Execute runs the command line and returns the exit code. An interrupt or a termination signal ends the command's context.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return execute(ctx, args, out, errOut)
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
	return report(err, out, errOut)
}

// command is one line of the list of commands.
type command struct {
	name  string
	short string
	run   flags.Commander
}

// commands lists every command.
func commands(e *env) []command {
	return []command{
		{"demo", "Run a small fleet in one process, break it, audit it", &demoCmd{env: e}},
		{"serve", "Run one instance", &serveCmd{env: e}},
		{"router", "Run one instance that stands alone on the users' platform", &routerCmd{env: e}},
		{"explain", "Tell one request's story from the logs of routers", &explainCmd{env: e}},
		{"losses", "Tell from the logs of routers where requests were lost or late", &lossesCmd{env: e}},
		{"standin", "Run the stand-ins of the platform and the endpoints", &standinCmd{env: e}},
		{"check", "Check settings or declarations", &checkCmd{env: e}},
		{"keys", "Make the fleet's keys, or hash a key", &keysCmd{env: e}},
		{"plan", "Plan an intent or a directory of declarations", &planCmd{env: e}},
		{"confirm", "Confirm a plan", &confirmCmd{env: e}},
		{"show", "Show what the fleet says of itself", &showCmd{env: e}},
		{"bench", "Measure what it costs and how well it serves", &benchCmd{env: e}},
		{"report", "Report service-level burn", &reportCmd{env: e}},
		{"version", "Print the version", &versionCmd{env: e}},
	}
}

func report(err error, out, errOut io.Writer) int {
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
