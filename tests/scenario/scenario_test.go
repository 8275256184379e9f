// Package scenario_test runs scripts against a fleet of separate processes on
// loopback. The commands of the scripts are listed in docs/design/scenarios.md.
package scenario_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/crocusline/crocusline/standin/cluster"
)

// waitTimeout bounds each wait of a script. It is no bound of the product's: a
// wait that passes it fails, because what it waits for does not come.
const waitTimeout = time.Minute

// bin holds the binaries under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crocusline")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	bin = dir
	cmd := exec.CommandContext(context.Background(), "go", "build", "-o", dir+"/", "../..", "../../crocusbench")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":  startFleet,
			"crash":  crashProcess,
			"pause":  pauseProcess,
			"resume": resumeProcess,
			"start":  startProcess,
			"faults": setFaults,
			"await":  awaitOutput,
			"ran":    checkRan,
			"runs":   checkRuns,
			"answer": writeAnswer,
			"budget": checkBudget,
		},
	})
}

// state is what a script's commands share.
type state struct {
	fleet *cluster.Fleet
}

type stateKey struct{}

func setup(env *testscript.Env) error {
	env.Values[stateKey{}] = &state{}
	env.Setenv("PATH", bin+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("CROCUSLINE_TOKEN", cluster.Token)
	env.Setenv("CROCUSLINE_WORKSPACE", cluster.Workspace)
	return nil
}

func writeFile(name, text string) error {
	return os.WriteFile(name, []byte(text), 0o600)
}
