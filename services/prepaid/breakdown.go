package prepaid

import (
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
)

const (
	// tokensRefused counts the tokens of refused requests by the place of those that they lacked.
	tokensRefused = "crocusline_tokens_refused_total"
	// tokensClosed counts the tokens that count as spent since this gateway closed the grant of its
	// predecessor, by what is known of them.
	tokensClosed = "crocusline_tokens_closed_total"
)

func placeLabel(p prepaid.Place) string { return `{place="` + p.String() + `"}` }

// Balance is a gateway's view of a workspace's tokens, for log lines.
type Balance struct {
	// Free is the number of tokens available now, Granted what is left of the gateway's
	// grant, and Unspent the most that may be left of the prepaid total.
	Free    int64
	Granted int64
	Unspent int64
	// Demand is the demand of callers at this gateway in tokens per second.
	Demand float64
	// Age is the time since the reports were read.
	Age time.Duration
	// Breakdown is where the tokens of the prepaid total are.
	Breakdown prepaid.Breakdown
}

// Balance returns the gateway's view of the workspace's tokens.
func (s *Service) Balance(w route.Workspace) Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Balance{Unspent: s.accounts[w.Name].Unspent(w.Prepaid), Age: s.reportWriter.follower.Age()}
	if l, exists := s.budgets[w.Name]; exists {
		now := time.Now()
		b.Free, b.Granted, b.Demand = l.Free(now), l.GrantRemaining(), l.Demand(now)
		b.Breakdown = s.breakdown(w, now)
	}
	return b
}

// breakdown returns where the workspace's tokens are.
func (s *Service) breakdown(w route.Workspace, now time.Time) prepaid.Breakdown {
	h := s.budget(w, now).HolderState(now, prepaid.HolderState{
		Instance: s.instance, Incarnation: s.incarnation, Now: s.clockReading(), Era: s.era, Withheld: s.withheld[w.Name],
	})
	return s.accounts[w.Name].Breakdown(w.Prepaid, h)
}

// Pairs returns the keys and values for the log line of a refused request.
func (b Balance) Pairs(tokens int64) []any {
	pairs := []any{
		"tokens", tokens, "free", b.Free, "granted", b.Granted, "demand", int64(b.Demand), "unspent", b.Unspent,
		"accountsAge", b.Age.Round(time.Millisecond),
	}
	if b.Breakdown == (prepaid.Breakdown{}) {
		return pairs
	}
	pairs = append(pairs, "lacks", b.Breakdown.Cause(tokens))
	for p, amount := range b.Breakdown.Tokens {
		if amount != 0 {
			pairs = append(pairs, prepaid.Place(p).String(), amount)
		}
	}
	if age := b.Breakdown.ClosedAge; age > 0 {
		pairs = append(pairs, "closedAge", age)
	}
	if age := b.Breakdown.SilentAge; age > 0 {
		pairs = append(pairs, "silentAge", age)
	}
	return pairs
}

// refuse counts a request that is refused for lack of tokens, and returns the refusal.
func (s *Service) refuse(w route.Workspace, tokens int64, exhausted bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.metrics.Counter(tokensRefused + placeLabel(s.breakdown(w, now).Cause(tokens))).AddInt64(tokens)
	if exhausted {
		return refusal.New(refusal.BudgetExhausted, 0, "the prepaid tokens do not cover the request: top up")
	}
	return s.unreachableError(w, now, tokens)
}

// recordClosed records that the grant closed that of the predecessor.
func (s *Service) recordClosed(workspace string, predecessor, g prepaid.Grant) {
	closed := g.ClosedSince(predecessor)
	for p, amount := range closed {
		s.metrics.Counter(tokensClosed + placeLabel(p)).AddInt64(amount)
	}
	s.log.Info("predecessor closed", "workspace", workspace, "grant", predecessor.Total, "spent", closed[prepaid.Spent],
		"endedReserved", closed[prepaid.EndedReserved], "endedPermitted", closed[prepaid.EndedPermitted], "endedUnreported", closed[prepaid.EndedUnreported])
}
