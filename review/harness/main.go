//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is a case: prepare changes the world before its parts start, and run returns what broke
// the rule.
type play struct {
	prepare func(w *world)
	run     func(w *world) ([]string, error)
}

func unprepared(*world) {}

// cases are the plays by name.
var cases = map[string]play{
	"resume":  {unprepared, playResume},
	"rolling": {prepareRolling, playRolling},
	"drain":   {unprepared, playDrain},
	"slashes": {unprepared, playSlashes},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return notRun
	}
	w, err := newWorld(os.Args[2], cases[os.Args[1]].prepare)
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(notRun)
	}()
	var broken []string
	if err == nil {
		broken, err = cases[os.Args[1]].run(w)
	}
	if err != nil {
		fmt.Println("not run:", err)
		if w.record != nil {
			w.note("not run: %v", err)
		}
		return notRun
	}
	w.summary()
	_, _ = fmt.Fprintf(w.record, "\nbroken: %d\n", len(broken))
	for _, b := range broken {
		_, _ = fmt.Fprintln(w.record, b)
	}
	fmt.Printf("%s: %d requests, rule broken %d times\n", os.Args[1], len(w.outcomes), len(broken))
	if len(broken) > 0 {
		fmt.Println("the first:", broken[0])
		return ruleBroken
	}
	return ruleHeld
}
