// Command vpierd runs one entry host of vanillapier.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/node"
	"github.com/vanillapier/vanillapier/internal/telemetry"
	"github.com/vanillapier/vanillapier/platform"
)

// Exit codes of vpierd.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	os.Exit(start())
}

func start() int {
	if path := platform.SettingsPath(); path != "" {
		return runOnPlatform(path)
	}
	settings, code, done := parse(os.Args[1:])
	if done {
		return code
	}
	settings.Provision()
	log, err := telemetry.NewLogger(os.Stderr, settings.LogLevel, model.NodeID(settings.ID))
	if err != nil {
		return fail(err, exitInvalid)
	}
	n, err := node.New(settings, log)
	if err != nil {
		return fail(err, exitInvalid)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	callers, admin, peers := n.Addrs()
	log.WithField("callers", callers).WithField("admin", admin).WithField("peers", peers).Info("listening")
	if err := n.Run(ctx); err != nil {
		return fail(err, exitFailed)
	}
	return 0
}

// parse reads flags and environment. done is true when the process exits with code: after
// --help, --version or an error.
func parse(args []string) (settings node.Settings, code int, done bool) {
	parser, err := arg.NewParser(arg.Config{}, &settings)
	if err == nil {
		err = parser.Parse(args)
	}
	switch {
	case err == nil:
		return settings, 0, false
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(os.Stdout)
		return settings, 0, true
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(settings.Version())
		return settings, 0, true
	}
	err = model.Wrap(model.KindInvalid, err, "see vpierd --help", "flags and environment")
	return settings, fail(err, exitInvalid), true
}

// fail prints err and returns the exit code.
func fail(err error, code int) int {
	fmt.Fprintf(os.Stderr, "vpierd: %v\n", err)
	return code
}
