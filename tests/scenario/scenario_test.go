// Package scenario_test runs testscript files against a fleet of separate processes
// on loopback. The commands of the scripts are listed in docs/design/scenarios.md.
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

// waitTimeout bounds each wait of a script. It is a limit of the test, not a
// guarantee of the product.
const waitTimeout = time.Minute

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries into a temporary directory and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crocusline")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
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
			"await":  awaitStreaming,
			"ran":    checkExecutionCount,
			"runs":   checkModelRequests,
			"answer": writeExpectedAnswer,
			"budget": checkBudget,
		},
	})
}

// scriptState is shared by the commands of a script.
type scriptState struct {
	fleet *cluster.Fleet
}

type stateKey struct{}

func setup(env *testscript.Env) error {
	env.Values[stateKey{}] = &scriptState{}
	env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("CROCUSLINE_TOKEN", cluster.Token)
	env.Setenv("CROCUSLINE_WORKSPACE", cluster.Workspace)
	return nil
}

func writeFile(name, text string) error {
	return os.WriteFile(name, []byte(text), 0o600)
}
