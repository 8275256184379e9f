package demo

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/engine"
	"github.com/crocusline/crocusline/standin/service"
)

const (
	// bookingPrice is the price of the booking's route, in tokens.
	bookingPrice = 20
	// settleTimeout is how long the bills may take to reach the ledger.
	settleTimeout      = 15 * time.Second
	settlePollInterval = 250 * time.Millisecond
)

// budget is a budget as the status command prints it.
type budget struct {
	Workspace   string `json:"workspace"`
	ToppedUp    string `json:"toppedUp"`
	Settled     string `json:"settled"`
	Outstanding string `json:"outstanding"`
	Bills       string `json:"bills"`
}

// expectedBilling is what a workspace should have been billed.
type expectedBilling struct {
	bills  int64
	tokens int64
}

// verify prints the outcome and compares it with what the stand-ins ran.
func (d *Demo) verify(ctx context.Context, results []result) error {
	want := map[string]expectedBilling{}
	for _, r := range results {
		d.printf("\n%s (%s, %.1f s)\n  %s\n  %s", r.name, r.kind, r.duration.Seconds(),
			excerpt(r.answer), strings.ReplaceAll(r.stderr, "\n", "\n  "))
		if r.maxTokens == 0 {
			continue
		}
		whole := engine.Completion(r.prompt, r.maxTokens)
		if r.answer != strings.Join(whole, "") {
			return errors.Errorf("%s: the answer is not the one the engine gives", r.name)
		}
		a := want[r.workspace]
		a.bills++
		a.tokens += int64(len(strings.Fields(r.prompt)) + len(whole))
		want[r.workspace] = a
	}
	stores := want["stores"]
	stores.bills++
	stores.tokens += bookingPrice
	want["stores"] = stores
	if err := d.verifyBooking(ctx); err != nil {
		return err
	}
	return d.verifyBudgets(ctx, want)
}

func (d *Demo) verifyBooking(ctx context.Context) error {
	_, data, err := d.cluster.Get(ctx, "http://"+serviceAddress+"/ran")
	if err != nil {
		return err
	}
	var ran map[string]service.CallRecord
	if err := json.Unmarshal(data, &ran); err != nil {
		return errors.WithStack(err)
	}
	total := 0
	for _, e := range ran {
		total += e.Count
	}
	d.printf("\nthe booking service ran %d booking", total)
	if total != 1 {
		return errors.Errorf("the booking ran %d times", total)
	}
	return nil
}

// verifyBudgets waits until the ledger holds exactly the bills that are due.
func (d *Demo) verifyBudgets(ctx context.Context, want map[string]expectedBilling) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		budgets, err := d.budgets(ctx)
		if err != nil {
			return err
		}
		problem := compareBudgets(budgets, want)
		if problem == nil {
			d.printf("")
			for _, b := range budgets {
				d.printf("budget of %s: topped up %s, settled %s in %s bills, outstanding %s",
					b.Workspace, b.ToppedUp, b.Settled, b.Bills, b.Outstanding)
			}
			d.printf("\nverdict: every answer whole, each billed once, the booking ran once, no budget overspent")
			return nil
		}
		select {
		case <-ctx.Done():
			return problem
		case <-time.After(settlePollInterval):
		}
	}
}

func (d *Demo) budgets(ctx context.Context) ([]budget, error) {
	out, err := d.crocusline(ctx, "status", "--operator", entry2OperatorURL, "--json")
	if err != nil {
		return nil, err
	}
	var status struct {
		Budgets []budget `json:"budgets"`
	}
	return status.Budgets, errors.WithStack(json.Unmarshal([]byte(out), &status))
}

// compareBudgets returns how the ledger differs from what was to be billed.
func compareBudgets(budgets []budget, want map[string]expectedBilling) error {
	seen := 0
	for _, b := range budgets {
		a, known := want[b.Workspace]
		if !known {
			continue
		}
		seen++
		if parseTokens(b.Bills) != a.bills || parseTokens(b.Settled) != a.tokens {
			return errors.Errorf("%s: billed %s tokens in %s bills, should be %d in %d",
				b.Workspace, b.Settled, b.Bills, a.tokens, a.bills)
		}
		if parseTokens(b.Settled)+parseTokens(b.Outstanding) > parseTokens(b.ToppedUp) {
			return errors.Errorf("%s: overspent", b.Workspace)
		}
	}
	if seen != len(want) {
		return errors.Errorf("the ledger shows %d of %d budgets", seen, len(want))
	}
	return nil
}

func parseTokens(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return -1
	}
	return n
}

func excerpt(answer string) string {
	const longest = 90
	if len(answer) <= longest {
		return answer
	}
	return answer[:longest] + " ..."
}
