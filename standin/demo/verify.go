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
	// bookingPrice is the price of the booking route, in tokens.
	bookingPrice = 20
	// settleTimeout is the time limit for bills to reach the ledger.
	settleTimeout      = 15 * time.Second
	settlePollInterval = 250 * time.Millisecond
)

// budget is a budget in the JSON output of the status command.
type budget struct {
	Workspace   string `json:"workspace"`
	ToppedUp    string `json:"toppedUp"`
	Settled     string `json:"settled"`
	Outstanding string `json:"outstanding"`
	Bills       string `json:"bills"`
}

// expectedBilling is the expected number of bills of a workspace and the tokens
// billed in total.
type expectedBilling struct {
	bills  int64
	tokens int64
}

// verify prints the results and compares them with what the simulated backend
// servers executed.
func (d *Demo) verify(ctx context.Context, results []result) error {
	want := map[string]expectedBilling{}
	for _, r := range results {
		d.printf("\n%s (%s, %.1f s)\n  %s\n  %s", r.name, r.kind, r.duration.Seconds(),
			excerpt(r.response), strings.ReplaceAll(r.stderr, "\n", "\n  "))
		if r.maxTokens == 0 {
			continue
		}
		completion := engine.Completion(r.prompt, r.maxTokens)
		if r.response != strings.Join(completion, "") {
			return errors.Errorf("%s: the response differs from the engine's completion of the prompt", r.name)
		}
		expected := want[r.workspace]
		expected.bills++
		expected.tokens += int64(len(strings.Fields(r.prompt)) + len(completion))
		want[r.workspace] = expected
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
	var calls map[string]service.CallRecord
	if err := json.Unmarshal(data, &calls); err != nil {
		return errors.WithStack(err)
	}
	total := 0
	for _, call := range calls {
		total += call.Count
	}
	d.printf("\nthe booking service executed %d booking", total)
	if total != 1 {
		return errors.Errorf("the booking was executed %d times, want once", total)
	}
	return nil
}

// verifyBudgets waits until the ledger contains exactly the expected bills.
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
			d.printf("\nverdict: every response is complete and billed once, the booking was executed once, no budget is overspent")
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

// compareBudgets returns an error if the ledger differs from the expected billing
// or a budget is overspent.
func compareBudgets(budgets []budget, want map[string]expectedBilling) error {
	found := 0
	for _, b := range budgets {
		expected, known := want[b.Workspace]
		if !known {
			continue
		}
		found++
		if parseTokens(b.Bills) != expected.bills || parseTokens(b.Settled) != expected.tokens {
			return errors.Errorf("%s: billed %s tokens in %s bills, want %d in %d",
				b.Workspace, b.Settled, b.Bills, expected.tokens, expected.bills)
		}
		if parseTokens(b.Settled)+parseTokens(b.Outstanding) > parseTokens(b.ToppedUp) {
			return errors.Errorf("%s: settled %s and outstanding %s tokens exceed the budget of %s",
				b.Workspace, b.Settled, b.Outstanding, b.ToppedUp)
		}
	}
	if found != len(want) {
		return errors.Errorf("the ledger has %d of %d budgets", found, len(want))
	}
	return nil
}

// parseTokens parses a number, which JSON carries as a string, and returns -1 if it
// is invalid.
func parseTokens(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// excerpt returns the start of a response, for printing.
func excerpt(response string) string {
	const maxLength = 90
	if len(response) <= maxLength {
		return response
	}
	return response[:maxLength] + " ..."
}
