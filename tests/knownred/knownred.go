// Package knownred turns the failures listed in KNOWN-RED.txt at the root of the
// repository into log lines. All other failures still fail their tests.
//
// Each line of the file is an entry of four fields separated by " | ": the full
// name of the test, the command with its seed, the observed result, and the
// issue. Empty lines and lines that start with # are ignored.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// File is the name of the list, relative to the root of the repository.
const File = "KNOWN-RED.txt"

// Entry describes a test that is known to fail.
type Entry struct {
	// Test is the full name of the test, with its subtests.
	Test string
	// Command reproduces the failure.
	Command string
	// Seen is the observed result.
	Seen string
	// Issue is the open issue of the failure.
	Issue string
}

// Parse parses the text of a list.
func Parse(text string) ([]Entry, error) {
	var all []Entry
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, " | ")
		if len(parts) != 4 {
			return nil, errors.Errorf("%s: line %q is not of the form test | command | seen | issue", File, line)
		}
		all = append(all, Entry{Test: parts[0], Command: parts[1], Seen: parts[2], Issue: parts[3]})
	}
	return all, nil
}

// Read reads the list of the repository that contains the working directory. A
// missing file means an empty list.
func Read() ([]Entry, error) {
	dir, err := os.Getwd()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			break
		}
		if dir == filepath.Dir(dir) {
			return nil, errors.New("no go.mod in the working directory or its parents")
		}
		dir = filepath.Dir(dir)
	}
	text, err := os.ReadFile(filepath.Join(dir, File))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return Parse(string(text))
}

// Report ends a test that found the given problem, or none when it is empty.
// The problem of a listed test is only logged, and a listed test without a
// problem fails, so that the list stays true.
func Report(t testing.TB, problem string) {
	t.Helper()
	entries, err := Read()
	if err != nil {
		t.Fatal(err)
	}
	report(t, entries, problem)
}

func report(t testing.TB, entries []Entry, problem string) {
	t.Helper()
	for _, e := range entries {
		switch {
		case e.Test != t.Name():
		case problem == "":
			t.Errorf("%s passes: remove its entry from %s", e.Test, File)
			return
		default:
			t.Logf("known failure (%s): %s", e.Issue, problem)
			return
		}
	}
	if problem != "" {
		t.Error(problem)
	}
}
