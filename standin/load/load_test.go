package load

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/rank"
)

func read(t *testing.T, file string) *Workload {
	t.Helper()
	w, err := ReadFile("../../workloads/" + file)
	if err != nil {
		t.Fatal(err)
	}
	w.Duration = 35 * time.Second
	return w
}

func TestSameSeedSameRun(t *testing.T) {
	run := func(seed uint64) string {
		w := read(t, "tropic_frost_floods.yaml")
		w.Seed = seed
		var lines bytes.Buffer
		if err := Run(w).WriteJSON(&lines); err != nil {
			t.Fatal(err)
		}
		return lines.String()
	}
	first := run(1)
	if first != run(1) {
		t.Error("the same seed gave two results")
	}
	if first == run(2) {
		t.Error("two seeds gave the same result")
	}
}

// Every caller gets one final answer, also while servers are lost and calls
// fail.
func TestEveryCallerIsAnsweredOnce(t *testing.T) {
	for _, file := range []string{"tropic_frost.yaml", "kolplat.yaml"} {
		w := read(t, file)
		w.WarmUp = 0
		w.Faults = []Fault{
			{Domain: w.Domains[0], From: 10 * time.Second, Until: 20 * time.Second},
			{EachNth: 5, From: 15 * time.Second, Until: 30 * time.Second},
		}
		r := Run(w)
		unknown := 0
		for i := range w.Pools {
			for of := rank.Urgent; of <= rank.Bulk; of++ {
				g := r.Group(GroupKey{Pool: w.Pools[i].Name, Rank: of})
				if ended := g.Completed + g.Rejected + g.Failed + g.Unknown; ended != g.Arrived {
					t.Errorf("%s %s %s: %d arrived, %d ended", file, w.Pools[i].Name, of, g.Arrived, ended)
				}
				unknown += g.Unknown
			}
		}
		if unknown == 0 {
			t.Errorf("%s: no outcome unknown, though calls failed that may not be repeated", file)
		}
	}
}

func TestCacheDropsTheLeastRecentlyUsed(t *testing.T) {
	c := newCache(100)
	c.store("a", 40)
	c.store("b", 40)
	c.lookUp("a")
	c.store("c", 40)
	if c.lookUp("a") != 40 || c.lookUp("b") != 0 || c.lookUp("c") != 40 || c.held != 80 {
		t.Errorf("holds %d tokens: a %d, b %d, c %d", c.held, c.lookUp("a"), c.lookUp("b"), c.lookUp("c"))
	}
}

func TestWorkloadsCanBeRead(t *testing.T) {
	files, err := filepath.Glob("../../workloads/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		if _, err := ReadFile(file); err != nil {
			t.Error(err)
		}
	}
}
