// Command vpierd runs one entry host of vanillapier.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/node"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Exit codes of vpierd.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	var settings node.Settings
	arg.MustParse(&settings)
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

// fail prints err and returns the exit code.
func fail(err error, code int) int {
	fmt.Fprintf(os.Stderr, "vpierd: %v\n", err)
	return code
}
