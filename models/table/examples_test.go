package table_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/setting"
)

const examples = "../../examples"

// TestExamples loads every example and checks that each sidecar's server is in the
// tables of the same directory.
func TestExamples(t *testing.T) {
	for _, set := range []string{"demo", "kolplat", "tropic-frost"} {
		tables, err := table.Load(filepath.Join(examples, set, "tables"))
		if err != nil {
			t.Fatal(err)
		}
		files, err := filepath.Glob(filepath.Join(examples, set, "*.yaml"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: files %v, %v", set, files, err)
		}
		for _, file := range files {
			checkExample(t, file, tables)
		}
	}
}

func checkExample(t *testing.T, file string, tables *table.Tables) {
	t.Helper()
	role := setting.Sidecar
	if strings.HasPrefix(filepath.Base(file), "entry") {
		role = setting.Entry
	}
	s, err := setting.Load(file, role)
	if err != nil {
		t.Error(err)
		return
	}
	if role == setting.Sidecar && !tables.HasServer(s.Server.Name) {
		t.Errorf("%s: server %s is in no pool", file, s.Server.Name)
	}
}
