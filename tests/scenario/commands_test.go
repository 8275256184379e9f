package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/crocusline/crocusline/standin/cluster"
	"github.com/crocusline/crocusline/standin/engine"
	"github.com/crocusline/crocusline/standin/service"
)

// pollInterval is the time between two evaluations of an awaited condition.
const pollInterval = 50 * time.Millisecond

// currentFleet returns the fleet that the script has started.
func currentFleet(ts *testscript.TestScript) *cluster.Fleet {
	f := ts.Value(stateKey{}).(*scriptState).fleet
	if f == nil {
		ts.Fatalf("no fleet started: the script needs the command fleet first")
	}
	return f
}

func waitContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
}

// startFleet implements the command "fleet entries=N models=N services=N tokens=N
// interval=D". It starts a fleet whose workspace has a budget of N tokens and whose
// engines generate one token per interval.
func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	spec := cluster.Spec{Entries: 1, Slots: 8, LogLevel: "info"}
	tokens, interval := 1_000_000, "20ms"
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		number, err := strconv.Atoi(value)
		switch name {
		case "entries":
			spec.Entries = number
		case "models":
			spec.Models = number
		case "services":
			spec.Services = number
		case "tokens":
			tokens = number
		case "interval":
			interval, err = value, nil
		default:
			ts.Fatalf("fleet: unknown argument %s", arg)
		}
		ts.Check(err)
	}
	spec.EngineFlags = []string{"--slots", "8", "--token-interval", interval}
	f, err := cluster.NewFleet(binDir, filepath.Join(ts.Getenv("WORK"), "fleet"), spec)
	ts.Check(err)
	ts.Defer(func() { _ = f.Close() })
	ts.Value(stateKey{}).(*scriptState).fleet = f
	ctx, cancel := waitContext()
	defer cancel()
	ts.Check(f.StartAll(ctx, tokens))
	setAddresses(ts, f)
}

// setAddresses sets the environment variables with the addresses of the fleet.
func setAddresses(ts *testscript.TestScript, f *cluster.Fleet) {
	ts.Setenv("PLATFORM", f.URL("platform"))
	ts.Setenv("TABLES", f.Tables())
	for i, entry := range f.EntryNames() {
		ts.Setenv(fmt.Sprintf("ENTRY%d", i+1), f.URL(entry))
		ts.Setenv(fmt.Sprintf("OPERATOR%d", i+1), f.OperatorURL(entry))
	}
}

// crashProcess implements "crash NAME...": it kills the processes.
func crashProcess(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(currentFleet(ts).Kill(name))
	}
}

// pauseProcess implements "pause NAME".
func pauseProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(currentFleet(ts).Pause(args[0]))
}

// resumeProcess implements "resume NAME".
func resumeProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(currentFleet(ts).Resume(args[0]))
}

// startProcess implements "start NAME": it starts a killed entry or sidecar again and
// waits until it is ready.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	f := currentFleet(ts)
	if strings.HasPrefix(args[0], "entry") {
		ts.Check(f.StartEntry(args[0]))
	} else {
		ts.Check(f.StartSidecar(args[0]))
	}
	ctx, cancel := waitContext()
	defer cancel()
	ts.Check(f.AwaitReady(ctx, args[0]))
}

// setFaults implements "faults STANDIN JSON".
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := waitContext()
	defer cancel()
	ts.Check(currentFleet(ts).SetFaults(ctx, args[0], args[1]))
}

// waitFor polls a condition until it holds, and fails the script after waitTimeout.
// The error of the last poll becomes part of the failure.
func waitFor(ts *testscript.TestScript, what string, done func(ctx context.Context) (bool, error)) {
	ctx, cancel := waitContext()
	defer cancel()
	for {
		ok, err := done(ctx)
		if ok {
			return
		}
		select {
		case <-ctx.Done():
			ts.Fatalf("timed out after %s waiting for %s: %v", waitTimeout, what, err)
		case <-time.After(pollInterval):
		}
	}
}

// awaitStreaming implements "await streaming N": it waits until a model server has
// generated N tokens for a request that is still running, and sets the environment
// variable SERVING to the name of the server.
func awaitStreaming(ts *testscript.TestScript, _ bool, args []string) {
	f := currentFleet(ts)
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	waitFor(ts, "a request with "+args[1]+" tokens generated", func(ctx context.Context) (bool, error) {
		for _, model := range f.ModelNames() {
			var ran []engine.RequestRecord
			if err := getJSON(ctx, f, f.URL(model)+"/ran", &ran); err != nil {
				continue
			}
			for _, r := range ran {
				if !r.Finished && !r.Cancelled && r.Tokens >= tokens {
					ts.Setenv("SERVING", model)
					return true, nil
				}
			}
		}
		return false, nil
	})
}

func getJSON(ctx context.Context, f *cluster.Fleet, url string, into any) error {
	_, data, err := f.Get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// checkExecutionCount implements "ran SERVICE KEY N": it checks that the service
// executed the request with the idempotency key KEY N times.
func checkExecutionCount(ts *testscript.TestScript, _ bool, args []string) {
	f := currentFleet(ts)
	ctx, cancel := waitContext()
	defer cancel()
	var ran map[string]service.CallRecord
	ts.Check(getJSON(ctx, f, f.URL(args[0])+"/ran", &ran))
	if got := strconv.Itoa(ran[args[1]].Count); got != args[2] {
		ts.Fatalf("%s executed key %s %s times, want %s", args[0], args[1], got, args[2])
	}
}

// writeExpectedAnswer implements "answer FILE PROMPT MAX": it writes the complete
// expected answer to a file.
func writeExpectedAnswer(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[2])
	ts.Check(err)
	text := strings.Join(engine.Completion(args[1], limit), "") + "\n"
	ts.Check(writeFile(ts.MkAbs(args[0]), text))
}

// checkBudget implements "budget ENTRY tokens=N bills=N": it waits until the ledger
// has settled exactly these tokens and bills, and fails if the workspace's tokens
// settled and outstanding ever exceed those topped up.
func checkBudget(ts *testscript.TestScript, _ bool, args []string) {
	f := currentFleet(ts)
	want := strings.Join(args[1:], " ")
	waitFor(ts, "the budget "+want, func(ctx context.Context) (bool, error) {
		var status struct {
			Budgets []struct{ Workspace, ToppedUp, Settled, Outstanding, Bills string }
		}
		out, err := f.RunCommand(ctx, "status", "--operator", f.OperatorURL(args[0]), "--json")
		if err != nil {
			return false, err
		}
		if err := json.Unmarshal([]byte(out), &status); err != nil {
			return false, err
		}
		for _, b := range status.Budgets {
			if b.Workspace != cluster.Workspace {
				continue
			}
			if parseInt(ts, b.Settled)+parseInt(ts, b.Outstanding) > parseInt(ts, b.ToppedUp) {
				ts.Fatalf("budget overspent: %+v", b)
			}
			got := fmt.Sprintf("tokens=%s bills=%s", b.Settled, b.Bills)
			return got == want, fmt.Errorf("the budget is %s", got)
		}
		return false, fmt.Errorf("workspace %s has no budget", cluster.Workspace)
	})
}

func parseInt(ts *testscript.TestScript, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	ts.Check(err)
	return n
}

// checkModelRequests implements "runs N [resumed]": it checks that the reachable model
// servers received N requests in total, and that one of them continued an answer that
// another server had begun if and only if "resumed" is given.
func checkModelRequests(ts *testscript.TestScript, _ bool, args []string) {
	f := currentFleet(ts)
	ctx, cancel := waitContext()
	defer cancel()
	runs, resumed := 0, false
	for _, model := range f.ModelNames() {
		var ran []engine.RequestRecord
		if err := getJSON(ctx, f, f.URL(model)+"/ran", &ran); err != nil {
			// A killed server does not respond.
			continue
		}
		runs += len(ran)
		for _, r := range ran {
			resumed = resumed || r.StartToken > 0
		}
	}
	if got := strconv.Itoa(runs); got != args[0] {
		ts.Fatalf("the model servers received %s requests, want %s", got, args[0])
	}
	if want := len(args) > 1; resumed != want {
		ts.Fatalf("answer resumed at another server: %t, want %t", resumed, want)
	}
}
