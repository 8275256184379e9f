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

// Row is one line of a report: a rank, or a workspace within a rank.
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
	// Times are in milliseconds, at 50, 95 and 99 percent.
	FirstToken [3]float64 `json:"firstTokenMs"`
	TokenGap   [3]float64 `json:"gapMs"`
	Completion [3]float64 `json:"completionMs"`
}

// Total is the line of a whole run.
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
		Tokens: g.Tokens, Share: ratio(float64(g.Tokens), float64(r.tokens(k.Pool))),
	}
	for i, p := range percents {
		row.FirstToken[i] = milliseconds(Quantile(g.FirstToken, p))
		row.TokenGap[i] = milliseconds(Quantile(g.TokenGap, p))
		row.Completion[i] = milliseconds(Quantile(g.Completion, p))
	}
	return row
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// tokens counts the tokens that a pool generated.
func (r *Result) tokens(pool string) int {
	sum := 0
	for of := rank.Urgent; of <= rank.Bulk; of++ {
		sum += r.Group(GroupKey{Pool: pool, Rank: of}).Tokens
	}
	return sum
}

// Rows returns, for each pool, a row for each rank and each workspace within
// it.
func (r *Result) Rows() []Row {
	var rows []Row
	for i := range r.workload.Pools {
		pool := r.workload.Pools[i].Name
		for of := rank.Urgent; of <= rank.Bulk; of++ {
			names := r.names(pool, of)
			if len(names) > 0 {
				rows = append(rows, r.row(GroupKey{Pool: pool, Rank: of}))
			}
			for _, w := range names {
				rows = append(rows, r.row(GroupKey{Pool: pool, Rank: of, Workspace: w}))
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
		for of := rank.Urgent; of <= rank.Bulk; of++ {
			if j := r.JainIndex(name, of); j > 0 {
				t.JainIndex[name+" "+of.String()] = j
			}
		}
		t.HitRate[name], t.Imbalance[name] = r.HitRate(name), r.Imbalance(name)
	}
	for reason, n := range r.reasons {
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

// WriteTable writes the rows and the total for a reader.
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
		t.Goodput, 100*t.WastedShare, t.Amplification, byName(t.JainIndex))
	fmt.Fprintf(w, "prefix hits %s, busiest/mean %s, refusals %v\n\n",
		byName(t.HitRate), byName(t.Imbalance), t.Refusals)
	return nil
}

func seconds(ms float64) string { return fmt.Sprintf("%.2fs", ms/1000) }

func byName(values map[string]float64) string {
	encoded, _ := json.Marshal(rounded(values))
	return string(encoded)
}

func rounded(values map[string]float64) map[string]json.Number {
	out := map[string]json.Number{}
	for name, v := range values {
		out[name] = json.Number(fmt.Sprintf("%.3f", v))
	}
	return out
}
