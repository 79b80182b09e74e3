// Command standin holds the small stand-ins of the review's scripts: the platform's store, a
// runner, and for each case the clients and the checks. It follows the users' pages and uses
// nothing of the product but its program vpierd.
//
//	standin worker ...            one runner, a process of its own
//	standin case NAME PROGRAM RECORD    plays a case and writes the file RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 5 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin worker ... | standin case NAME PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], os.Args[3], os.Args[4]))
}

// cases holds the plays by name. A play reports whether the rule was broken.
var cases = map[string]func(*site) (broken bool, err error){
	"reborn":    playReborn,
	"ends":      playEnds,
	"crash":     playCrash,
	"probation": playProbation,
	"upkeep":    playUpkeep,
	"cancel":    playCancel,
	"wide":      playWide,
}

// play runs a case and returns the exit code.
func play(name, program, record string) int {
	s, err := newSite(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	}
	defer s.close()
	go s.watch()
	s.record("case %s, trouble %v", name, s.trouble)
	broken, err := cases[name](s)
	switch {
	case err != nil:
		s.record("RESULT: the case could not run: %v", err)
		return exitNotRun
	case broken:
		s.record("RESULT: the rule is broken")
		return exitBroken
	}
	s.record("RESULT: the rule held")
	return exitHeld
}

// maxPlay bounds a play.
const maxPlay = 112 * time.Second

// watch ends all processes and the play when it takes too long or is told to end.
func (s *site) watch() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-told:
	case <-time.After(maxPlay):
	}
	s.record("RESULT: the case could not run to its end")
	s.close()
	os.Exit(exitNotRun)
}
