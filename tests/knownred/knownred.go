// Package knownred passes over the failures that KNOWN-RED.txt at the root of
// the repository lists, and over no others.
//
// Each line of the file is an entry with four parts that " | " separates: the
// full name of the test, the command with its seed, what was seen, and the
// issue. Empty lines and lines that start with # are left out.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// File is the name of the list at the root of the repository.
const File = "KNOWN-RED.txt"

// Entry is a test that is known to fail.
type Entry struct {
	Test    string
	Command string
	Seen    string
	Issue   string
}

// Parse reads a list.
func Parse(text string) ([]Entry, error) {
	var all []Entry
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, " | ")
		if len(parts) != 4 {
			return nil, errors.Errorf("%s: want test | command | seen | issue: %q", File, line)
		}
		all = append(all, Entry{Test: parts[0], Command: parts[1], Seen: parts[2], Issue: parts[3]})
	}
	return all, nil
}

// Read reads the list of the repository that holds the working directory. A
// missing file is an empty list.
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
			return nil, errors.New("no go.mod above the working directory")
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

// Verdict ends a test that found the given problem, or none when it is empty.
// The problem of a listed test is only logged, and a listed test without a
// problem fails, so that the list stays true.
func Verdict(t testing.TB, problem string) {
	t.Helper()
	entries, err := Read()
	if err != nil {
		t.Fatal(err)
	}
	verdict(t, entries, problem)
}

func verdict(t testing.TB, entries []Entry, problem string) {
	t.Helper()
	for _, e := range entries {
		switch {
		case e.Test != t.Name():
		case problem == "":
			t.Errorf("%s passes: take it out of %s", e.Test, File)
			return
		default:
			t.Logf("known red, passed over (%s): %s", e.Issue, problem)
			return
		}
	}
	if problem != "" {
		t.Error(problem)
	}
}
