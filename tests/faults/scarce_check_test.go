package faults_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// workTolerance is how long a server may work on after a stream went on elsewhere.
const workTolerance = 400 * time.Millisecond

// rules are the rules that are checked, in order of priority.
var rules = []string{"REFUSED", "TWICE", "ORDER"}

// scarceResult holds what the clients received and the servers did in a run, by request and by stream.
type scarceResult struct {
	*scarceClients
	byRequest map[string][]*execution
	byStream  map[string][]*execution
	// found holds a description of each break by rule and by request or stream.
	found map[string]map[string]string
	// longestOverlap is the longest time for which a server worked on after a stream went on elsewhere.
	longestOverlap time.Duration
}

// check compares the records of servers and clients.
func (c *scarceClients) check() *scarceResult {
	r := &scarceResult{scarceClients: c, byRequest: map[string][]*execution{}, byStream: map[string][]*execution{}, found: map[string]map[string]string{}}
	for _, s := range c.fleet.servers {
		s.mu.Lock()
		for _, e := range s.executions {
			r.byRequest[e.id] = append(r.byRequest[e.id], e)
			r.byStream[streamName(e.id)] = append(r.byStream[streamName(e.id)], e)
		}
		s.mu.Unlock()
	}
	for _, rule := range rules {
		r.found[rule] = map[string]string{}
	}
	for _, a := range c.attempts {
		r.checkAttempt(a)
	}
	for _, s := range c.streams {
		r.checkStream(s)
	}
	return r
}

// report notes a break of a rule with all that is known of the request or stream.
func (r *scarceResult) report(rule, problem, name string) {
	if r.found[rule][name] != "" {
		return
	}
	began := r.fleet.began
	var events []event
	add := func(at time.Time, text string) { events = append(events, event{at, text}) }
	concerned, servers := map[string]bool{"store": true}, map[*scarceServer]bool{}
	from, to := time.Now(), began
	for _, a := range r.attempts {
		if streamName(a.id) == name {
			concerned[a.gateway.name] = true
			from, to = earliest(from, a.from), latest(to, a.to)
			add(a.from, a.describe(began))
		}
	}
	for _, e := range r.byStream[name] {
		servers[e.server] = true
		add(e.from, e.describe(began))
	}
	for s := range servers {
		for _, h := range s.history {
			if h.at.After(from.Add(-2*inTouchTime)) && h.at.Before(to) {
				add(h.at, fmt.Sprintf("%s at %.3f", h.text, h.at.Sub(began).Seconds()))
			}
		}
	}
	for concern := range concerned {
		for _, s := range r.fleet.spans[concern] {
			if s.to.After(from.Add(-inTouchTime)) && s.from.Before(to) {
				add(s.from, fmt.Sprintf("%s %s from %.3f to %.3f", concern, s.cause, s.from.Sub(began).Seconds(), s.to.Sub(began).Seconds()))
			}
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	text := problem
	for _, e := range events {
		text += "\n    " + e.text
	}
	r.found[rule][name] = text
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (r *scarceResult) checkAttempt(a *attempt) {
	executions := r.byRequest[a.id]
	once := a.kind != "draft" && !strings.HasSuffix(a.kind, "lookup")
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if once && len(executions) > 0 {
			r.report("REFUSED", fmt.Sprintf("%s got status %d with seal %q but ran %d times", a.id, a.status, a.seal, len(executions)), streamName(a.id))
		}
	}
	if once && len(executions) > 1 {
		r.report("TWICE", fmt.Sprintf("%s ran %d times", a.id, len(executions)), streamName(a.id))
	}
	if a.violation(soakVersions) != "" {
		r.report("ORDER", fmt.Sprintf("%s with seal %q got after event %d: %s", a.id, a.seal, a.after, eventRuns(a.body)), streamName(a.id))
	}
}

// eventRuns describes the events of a stream by runs of numbers without a gap and of one version.
func eventRuns(body string) string {
	text, last, version := "", 0, ""
	for e := range strings.SplitSeq(body, "\n\n") {
		var n, again int
		var v string
		if _, err := fmt.Sscanf(e, "id: %d\ndata: token %d of %s", &n, &again, &v); err != nil {
			if e != "" {
				text += fmt.Sprintf(" %q", e)
			}
			continue
		}
		if n != last+1 || v != version {
			text += fmt.Sprintf(" from %d of %s", n, v)
		}
		last, version = n, v
	}
	return fmt.Sprintf("%s to %d", text, last)
}

func (r *scarceResult) checkStream(s *clientStream) {
	if s.violation() != "" {
		r.report("ORDER", fmt.Sprintf("%s got%s", s.name, eventRuns(s.received+s.partial)), s.name)
	}
	executions := r.byStream[s.name]
	for _, e := range executions {
		for _, next := range executions {
			if problem := r.overlap(e, next); problem != "" {
				r.report("TWICE", problem, s.name)
			}
		}
	}
}

// overlap describes an execution that goes on though the stream went on at another server, on behalf
// of a gateway in touch, or returns "".
func (r *scarceResult) overlap(e, next *execution) string {
	end := e.to
	if end.IsZero() {
		end = time.Now()
	}
	over := end.Sub(next.from)
	a, later := r.attempts[e.id], r.attempts[next.id]
	if over <= 0 || e.late || next.late || e.server == next.server || a == nil || later == nil {
		return ""
	}
	if a == later && next.from.Before(e.from) || later.from.Before(a.from) {
		return ""
	}
	if r.fleet.disturbed(a.gateway.name, next.from.Add(-inTouchTime), next.from.Add(workTolerance)) != "" {
		return ""
	}
	r.longestOverlap = max(r.longestOverlap, over)
	if over <= workTolerance {
		return ""
	}
	note := r.fleet.disturbed("store", next.from.Add(-inTouchTime), next.from.Add(workTolerance))
	return fmt.Sprintf("%s went on at %s as %s, and %s worked %.3f s longer for %s %s", streamName(e.id), next.server.id, next.id, e.server.id, over.Seconds(), a.gateway.name, note)
}

// summary returns the counts of a run.
func (r *scarceResult) summary() string {
	resumed, complete := 0, 0
	for _, s := range r.streams {
		if s.attempts > 1 {
			resumed++
		}
		if s.complete() {
			complete++
		}
	}
	statuses := map[int]int{}
	for _, a := range r.attempts {
		statuses[a.status]++
	}
	text := fmt.Sprintf("began %s, %d gateways, %d servers: %d attempts, %d streams, %d taken up, %d complete, statuses %v, %d returns from a copy;",
		r.fleet.began.Format(time.TimeOnly+".000"), len(r.fleet.gateways), len(r.fleet.servers), len(r.attempts), len(r.streams), resumed, complete, statuses, r.fleet.eras)
	text += fmt.Sprintf(" longest overlap %s;", r.longestOverlap.Round(time.Millisecond))
	for _, rule := range rules {
		text += fmt.Sprintf(" %s %d", rule, len(r.found[rule]))
	}
	return text
}
