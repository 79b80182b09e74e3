// Command vpier is the command-line tool for operators of vanillapier.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanillapier/vanillapier/internal/operator"
)

// version is set by the linker: -ldflags "-X main.version=1.2.3".
var version = "0.0.0-dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := &operator.Program{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Version: version, Environ: os.Environ(), Dev: runDev, Replay: runReplay, Soak: runSoak,
	}
	code := program.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
