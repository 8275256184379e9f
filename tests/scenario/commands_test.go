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

// pollInterval is the pause between two looks of a wait.
const pollInterval = 50 * time.Millisecond

func fleetOf(ts *testscript.TestScript) *cluster.Fleet {
	f := ts.Value(stateKey{}).(*state).fleet
	if f == nil {
		ts.Fatalf("no fleet: begin with the command fleet")
	}
	return f
}

func waitContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
}

// startFleet is "fleet entries=N models=N services=N tokens=N interval=D".
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
			ts.Fatalf("unknown argument %s", arg)
		}
		ts.Check(err)
	}
	spec.EngineFlags = []string{"--slots", "8", "--token-interval", interval}
	f, err := cluster.NewFleet(bin, filepath.Join(ts.Getenv("WORK"), "fleet"), spec)
	ts.Check(err)
	ts.Defer(func() { _ = f.Close() })
	ts.Value(stateKey{}).(*state).fleet = f
	ctx, cancel := waitContext()
	defer cancel()
	ts.Check(f.StartAll(ctx, tokens))
	setAddresses(ts, f)
}

func setAddresses(ts *testscript.TestScript, f *cluster.Fleet) {
	ts.Setenv("PLATFORM", f.URL("platform"))
	ts.Setenv("TABLES", f.Tables())
	for i, entry := range f.EntryNames() {
		ts.Setenv(fmt.Sprintf("ENTRY%d", i+1), f.URL(entry))
		ts.Setenv(fmt.Sprintf("OPERATOR%d", i+1), f.OperatorURL(entry))
	}
}

// crashProcess is "crash NAME...": the processes end at once.
func crashProcess(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(fleetOf(ts).Kill(name))
	}
}

// pauseProcess is "pause NAME".
func pauseProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).Pause(args[0]))
}

// resumeProcess is "resume NAME".
func resumeProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).Resume(args[0]))
}

// startProcess is "start NAME": a killed entry or sidecar runs again.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	if strings.HasPrefix(args[0], "entry") {
		ts.Check(f.StartEntry(args[0]))
	} else {
		ts.Check(f.StartSidecar(args[0]))
	}
	ctx, cancel := waitContext()
	defer cancel()
	ts.Check(f.AwaitReady(ctx, args[0]))
}

// setFaults is "faults STANDIN JSON".
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := waitContext()
	defer cancel()
	ts.Check(fleetOf(ts).SetFaults(ctx, args[0], args[1]))
}

// await waits until done says so.
func await(ts *testscript.TestScript, what string, done func(ctx context.Context) (bool, error)) {
	ctx, cancel := waitContext()
	defer cancel()
	for {
		ok, err := done(ctx)
		if ok {
			return
		}
		select {
		case <-ctx.Done():
			ts.Fatalf("waited in vain for %s: %v", what, err)
		case <-time.After(pollInterval):
		}
	}
}

// awaitOutput is "await streaming N": until a model server has generated N
// tokens of a request that still runs. It sets SERVING to the server's name.
func awaitOutput(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	await(ts, "a stream", func(ctx context.Context) (bool, error) {
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

// checkRan is "ran SERVICE KEY N": the service ran the key N times.
func checkRan(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	ctx, cancel := waitContext()
	defer cancel()
	var ran map[string]service.CallRecord
	ts.Check(getJSON(ctx, f, f.URL(args[0])+"/ran", &ran))
	if got := strconv.Itoa(ran[args[1]].Count); got != args[2] {
		ts.Fatalf("%s ran %s times under %s, want %s", args[0], got, args[1], args[2])
	}
}

// writeAnswer is "answer FILE PROMPT MAX": the whole right answer.
func writeAnswer(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[2])
	ts.Check(err)
	text := strings.Join(engine.Completion(args[1], limit), "") + "\n"
	ts.Check(writeFile(ts.MkAbs(args[0]), text))
}

// checkBudget is "budget ENTRY tokens=N bills=N": until the ledger shows just
// that. It is never more than was topped up.
func checkBudget(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	want := strings.Join(args[1:], " ")
	await(ts, "the budget to be "+want, func(ctx context.Context) (bool, error) {
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
			if number(ts, b.Settled)+number(ts, b.Outstanding) > number(ts, b.ToppedUp) {
				ts.Fatalf("overspent: %+v", b)
			}
			got := fmt.Sprintf("tokens=%s bills=%s", b.Settled, b.Bills)
			return got == want, fmt.Errorf("it is %s", got)
		}
		return false, fmt.Errorf("no budget")
	})
}

func number(ts *testscript.TestScript, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	ts.Check(err)
	return n
}

// checkRuns is "runs N [resumed]": the model servers that are left ran N requests
// between them, the last of them from a token on that another server had made.
func checkRuns(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	ctx, cancel := waitContext()
	defer cancel()
	runs, resumed := 0, false
	for _, model := range f.ModelNames() {
		var ran []engine.RequestRecord
		if err := getJSON(ctx, f, f.URL(model)+"/ran", &ran); err != nil {
			// A killed server counts nothing.
			continue
		}
		runs += len(ran)
		for _, r := range ran {
			resumed = resumed || r.StartToken > 0
		}
	}
	if got := strconv.Itoa(runs); got != args[0] {
		ts.Fatalf("the model servers ran %s requests, want %s", got, args[0])
	}
	if want := len(args) > 1; resumed != want {
		ts.Fatalf("a run was resumed: %t, want %t", resumed, want)
	}
}
