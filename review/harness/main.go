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

// cases maps the names of the cases to their play. A play returns what broke the rule.
var cases = map[string]func(w *world) ([]string, error){
	"resume": playResume,
	"drain":  playDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return notRun
	}
	w, err := newWorld(os.Args[2])
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
		broken, err = cases[os.Args[1]](w)
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
