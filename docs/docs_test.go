// Package docs_test checks that the documentation matches the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/refusal"
)

// productDirs lists the directories whose log events and metrics are documented.
var productDirs = []string{"cmd", "kernel", "services", "routers", "modules", "models", "platform"}

// readSource returns the source code of all product directories, without tests.
func readSource(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	for _, dir := range productDirs {
		err := filepath.WalkDir(filepath.Join("..", dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			text.Write(data)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return text.String()
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// readOperatorPages returns the text of all pages for operators.
func readOperatorPages(t *testing.T) string {
	t.Helper()
	names, err := filepath.Glob("operate/*.md")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, name := range names {
		text.WriteString(readPage(t, name))
	}
	return text.String()
}

// tableRows returns the cells of the table rows whose first cell is formatted as code.
func tableRows(text string) [][]string {
	var list [][]string
	for line := range strings.Lines(text) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		list = append(list, cells[1:len(cells)-1])
	}
	return list
}

var eventCall = regexp.MustCompile(`\.(Debug|Info|Warn|Error)\(\s*"([^"]+)"`)

// TestEvents checks that the documented log events are exactly those in the code.
func TestEvents(t *testing.T) {
	var logged []string
	for _, call := range eventCall.FindAllStringSubmatch(readSource(t), -1) {
		logged = append(logged, strings.ToLower(call[1])+" "+call[2])
	}
	events, _, _ := strings.Cut(readPage(t, "operate/events-and-counters.md"), "## Counters")
	var documented []string
	for _, row := range tableRows(events) {
		documented = append(documented, row[1]+" "+row[0])
	}
	compare(t, "event", documented, logged)
}

var metricLiteral = regexp.MustCompile("[\"`](crocusline_[a-z_%]+)")

// TestMetrics checks that the documented metrics are exactly those in the code, and
// that no page names an unknown metric.
func TestMetrics(t *testing.T) {
	text := readSource(t)
	var counted []string
	for _, literal := range metricLiteral.FindAllStringSubmatch(text, -1) {
		if strings.Contains(literal[1], "%s") {
			counted = append(counted, expandFormat(t, text, literal[1])...)
			continue
		}
		counted = append(counted, literal[1])
	}
	_, metrics, _ := strings.Cut(readPage(t, "operate/events-and-counters.md"), "## Counters")
	var documented []string
	for _, row := range tableRows(metrics) {
		documented = append(documented, row[0])
	}
	compare(t, "metric", documented, counted)
	for _, name := range regexp.MustCompile(`crocusline_[a-z_]+`).FindAllString(readOperatorPages(t), -1) {
		if !slices.Contains(counted, name) {
			t.Errorf("a page names the metric %s, which is not in the code", name)
		}
	}
}

// expandFormat returns the metric names built from a format: one name for each
// literal passed to the function get, which contains the format.
func expandFormat(t *testing.T, text, format string) []string {
	t.Helper()
	var names []string
	for _, call := range regexp.MustCompile(`\bget\("([a-z_]+)"\)`).FindAllStringSubmatch(text, -1) {
		names = append(names, strings.Replace(format, "%s", call[1], 1))
	}
	if len(names) == 0 {
		t.Errorf("no metric name found for the format %s", format)
	}
	return names
}

// compare reports documented names missing in the code, and names found in the code
// but not documented.
func compare(t *testing.T, what string, documented, found []string) {
	t.Helper()
	for _, name := range documented {
		if !slices.Contains(found, name) {
			t.Errorf("the documented %s %q is not in the code", what, name)
		}
	}
	for _, name := range found {
		if !slices.Contains(documented, name) {
			t.Errorf("the %s %q is not documented", what, name)
		}
	}
}

// TestRefusals checks that the documented refusal reasons are exactly those in the
// code, and that no cell of their table is empty.
func TestRefusals(t *testing.T) {
	var documented []string
	for _, row := range tableRows(readPage(t, "operate/refusals.md")) {
		documented = append(documented, row[0])
		if len(row) != 3 || row[1] == "" || row[2] == "" {
			t.Errorf("the row of %s is incomplete", row[0])
		}
	}
	var reasons []string
	for _, reason := range refusal.Reasons() {
		reasons = append(reasons, reason.String())
	}
	compare(t, "reason", documented, reasons)
}

// TestPlaces checks that the documented places of tokens are exactly those in the code.
func TestPlaces(t *testing.T) {
	_, section, _ := strings.Cut(readPage(t, "OPERATIONS.md"), "### 402")
	section, _, _ = strings.Cut(section, "\n### ")
	var documented, places []string
	for _, row := range tableRows(section) {
		documented = append(documented, row[0])
	}
	for _, p := range prepaid.Places() {
		places = append(places, p.String())
	}
	compare(t, "place", documented, places)
}

var link = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// TestLinks checks that the targets of relative links exist.
func TestLinks(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		for _, target := range link.FindAllStringSubmatch(readPage(t, path), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), target[1])); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

var sourcePath = regexp.MustCompile(`\b(?:cmd|coordination|models|modules|routers|services|standin)/[A-Za-z0-9_./-]*[A-Za-z0-9_]`)

// TestArchitecturePaths checks that the files and packages named in ARCHITECTURE.md
// exist, and that it names each package of the documented layers.
func TestArchitecturePaths(t *testing.T) {
	named := sourcePath.FindAllString(readPage(t, "ARCHITECTURE.md"), -1)
	if len(named) == 0 {
		t.Fatal("ARCHITECTURE.md names no file")
	}
	for _, path := range named {
		if _, err := os.Stat(filepath.Join("..", path)); err != nil {
			t.Error(err)
		}
	}
	for _, layer := range []string{"coordination", "models", "routers", "services"} {
		dirs, err := os.ReadDir(filepath.Join("..", layer))
		if err != nil {
			t.Fatal(err)
		}
		for _, dir := range dirs {
			name := layer + "/" + dir.Name()
			if dir.IsDir() && !slices.ContainsFunc(named, func(path string) bool {
				return path == name || strings.HasPrefix(path, name+"/")
			}) {
				t.Errorf("ARCHITECTURE.md does not name the package %s", name)
			}
		}
	}
}
