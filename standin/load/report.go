package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/rank"
)

// Row is one line of a report, for a rank or for a workspace within a rank.
type Row struct {
	Run                 string  `json:"run"`
	Pool                string  `json:"pool"`
	Rank                string  `json:"rank"`
	Workspace           string  `json:"workspace,omitempty"`
	Arrived             int     `json:"arrived"`
	Completed           int     `json:"whole"`
	InTime              int     `json:"inTime"`
	Rejected            int     `json:"left"`
	Failed              int     `json:"failed"`
	Unknown             int     `json:"unknown"`
	RetryAdvised        int     `json:"told"`
	Resubmitted         int     `json:"back"`
	CompletedOnResubmit int     `json:"backWhole"`
	Tokens              int     `json:"tokens"`
	Share               float64 `json:"share"`
	// Times are in milliseconds, at the 50th, 95th and 99th percentile.
	FirstToken [3]float64 `json:"firstTokenMs"`
	TokenGap   [3]float64 `json:"gapMs"`
	Completion [3]float64 `json:"completionMs"`
}

// Total holds the measures of a whole run.
type Total struct {
	Run           string             `json:"run"`
	Goodput       float64            `json:"goodputTokensPerSecond"`
	WastedShare   float64            `json:"wastedShare"`
	Amplification float64            `json:"amplification"`
	JainIndex     map[string]float64 `json:"jain"`
	HitRate       map[string]float64 `json:"hitRate"`
	Imbalance     map[string]float64 `json:"imbalance"`
	Refusals      map[string]int     `json:"refusals"`
}

var percents = [3]float64{50, 95, 99}

func (r *Result) row(k GroupKey) Row {
	g := r.Group(k)
	row := Row{
		Run: r.workload.Name, Pool: k.Pool, Rank: k.Rank.String(), Workspace: k.Workspace,
		Arrived: g.Arrived, Completed: g.Completed, InTime: g.InTime, Rejected: g.Rejected, Failed: g.Failed, Unknown: g.Unknown,
		RetryAdvised: g.RetryAdvised, Resubmitted: g.Resubmitted, CompletedOnResubmit: g.CompletedOnResubmit,
		Tokens: g.Tokens, Share: ratio(float64(g.Tokens), float64(r.generatedIn(k.Pool))),
	}
	for i, p := range percents {
		row.FirstToken[i] = milliseconds(Quantile(g.FirstToken, p))
		row.TokenGap[i] = milliseconds(Quantile(g.TokenGap, p))
		row.Completion[i] = milliseconds(Quantile(g.Completion, p))
	}
	return row
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// generatedIn returns the number of tokens generated in a pool.
func (r *Result) generatedIn(pool string) int {
	sum := 0
	for rk := rank.Urgent; rk <= rank.Bulk; rk++ {
		sum += r.Group(GroupKey{Pool: pool, Rank: rk}).Tokens
	}
	return sum
}

// Rows returns a row for each rank of each pool and for each workspace within it.
func (r *Result) Rows() []Row {
	var rows []Row
	for i := range r.workload.Pools {
		pool := r.workload.Pools[i].Name
		for rk := rank.Urgent; rk <= rank.Bulk; rk++ {
			names := r.workspaces(pool, rk)
			if len(names) > 0 {
				rows = append(rows, r.row(GroupKey{Pool: pool, Rank: rk}))
			}
			for _, w := range names {
				rows = append(rows, r.row(GroupKey{Pool: pool, Rank: rk, Workspace: w}))
			}
		}
	}
	return rows
}

// Total returns the measures of the whole run.
func (r *Result) Total() Total {
	t := Total{
		Run: r.workload.Name, Goodput: r.Goodput(), WastedShare: r.WastedShare(), Amplification: r.Amplification(),
		JainIndex: map[string]float64{}, HitRate: map[string]float64{}, Imbalance: map[string]float64{},
		Refusals: map[string]int{},
	}
	for i := range r.workload.Pools {
		name := r.workload.Pools[i].Name
		for rk := rank.Urgent; rk <= rank.Bulk; rk++ {
			if j := r.JainIndex(name, rk); j > 0 {
				t.JainIndex[name+" "+rk.String()] = j
			}
		}
		t.HitRate[name], t.Imbalance[name] = r.HitRate(name), r.Imbalance(name)
	}
	for reason, n := range r.refusals {
		t.Refusals[reason.String()] = n
	}
	return t
}

// WriteJSON writes the rows and the total as JSON lines.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, row := range r.Rows() {
		if err := encoder.Encode(row); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(encoder.Encode(r.Total()))
}

// WriteTable writes the rows and the total as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\n", r.workload.Name)
	fmt.Fprintln(table, "pool\trank\tworkspace\tarrived\twhole\tin time\tleft\tfailed\tunknown\ttokens\tfirst p50\tp95\tp99\tgap p95\tdone p50\tp95\tp99\tback ok")
	for _, row := range r.Rows() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\n",
			row.Pool, row.Rank, row.Workspace, row.Arrived, row.Completed, row.InTime, row.Rejected, row.Failed, row.Unknown,
			100*row.Share, seconds(row.FirstToken[0]), seconds(row.FirstToken[1]), seconds(row.FirstToken[2]),
			fmt.Sprintf("%.0fms", row.TokenGap[1]),
			seconds(row.Completion[0]), seconds(row.Completion[1]), seconds(row.Completion[2]),
			row.CompletedOnResubmit, row.Resubmitted)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	t := r.Total()
	fmt.Fprintf(w, "goodput %.0f tokens/s, wasted %.2f%%, amplification %.3f, Jain %s\n",
		t.Goodput, 100*t.WastedShare, t.Amplification, formatByName(t.JainIndex))
	fmt.Fprintf(w, "prefix hits %s, busiest/mean %s, refusals %v\n\n",
		formatByName(t.HitRate), formatByName(t.Imbalance), t.Refusals)
	return nil
}

func seconds(ms float64) string { return fmt.Sprintf("%.2fs", ms/1000) }

func formatByName(values map[string]float64) string {
	encoded, _ := json.Marshal(roundValues(values))
	return string(encoded)
}

func roundValues(values map[string]float64) map[string]json.Number {
	out := map[string]json.Number{}
	for name, v := range values {
		out[name] = json.Number(fmt.Sprintf("%.3f", v))
	}
	return out
}
