//go:build review2

package main

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	reportsPrepaid = 400_000
	reportsTopic   = "keyed.reports"
	dossierHost    = "desk.example"
	dossierPath    = "/quote/1"
	tenantKey      = "k9ctnfzs989anu6wsjnb"
)

func engineConfig(prepaid int64) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "quote", "host": dossierHost, "path_prefix": "/quote/", "type": "streaming", "service": "crocus-pool",
			"timeout_ms": 12000, "goal_ms": 1500, "gap_goal_ms": 500, "priority": 1, "max_attempts": 1,
		}},
		"services": []map[string]any{{
			"name": "crocus-pool", "health_path": "/health", "max_conns": 360,
			"engine": map[string]any{"max_concurrency": 64, "kv_tokens": 440787, "stride": 4},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []map[string]any{{"name": "wheels", "api_keys": []string{tenantKey}, "prepaid": prepaid}},
	}
}

// tokensOf returns what the tenant got: the prompts of requests that were answered with success, and the output that clients
// received.
func tokensOf(results []result) (tokens int64, answered int) {
	for _, r := range results {
		if r.Status == 200 && r.Events > 0 {
			tokens += r.Prompt + 4*int64(r.Events)
			answered++
		}
	}
	return tokens, answered
}

// playReports loses the store's answer to one report, has the store refuse the repeat with 503, and kills the gateway. With
// TROUBLE=busy no answer is lost: the store refuses the report itself.
func playReports(e *environment) (bool, string, error) {
	e.store.put("keyed.op", "config", engineConfig(reportsPrepaid))
	if err := e.addServers("crocus-pool", true, 3); err != nil {
		return false, "", err
	}
	if err := e.startGateways(4); err != nil {
		return false, "", err
	}
	g := e.gateways[0]
	ctx := context.Background()
	c := &recorder{}
	ask := func(prompt, output int64, plan answerPlan) {
		c.send(ctx, request{Gateway: g, Host: dossierHost, Path: dossierPath, Key: tenantKey, Prompt: prompt, Output: output, Plan: plan, Deadline: 12 * time.Second})
	}
	// Streams that may get long, begun over 2 s.
	const streams, longOutput = 8, 25_000
	for range streams {
		ask(1000, longOutput, answerPlan{events: longOutput / 4, gap: 300 * time.Millisecond})
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	if e.trouble {
		var lost, refused atomic.Int64
		e.store.setFilter(func(cl call) verdict {
			switch {
			case lost.Load() > 0:
				if cl.Topic == reportsTopic && cl.Producer == g.name {
					if refused.Add(1) == 1 {
						e.note("the store refuses the repeat of the report of %s with 503", g.name)
					}
				}
				return busy
			case cl.Topic == reportsTopic && cl.Producer == g.name:
				lost.Add(1)
				if os.Getenv("TROUBLE") == "busy" {
					e.note("the store refuses a report of %s with 503; from now on the store is busy", g.name)
					refused.Add(1)
					return busy
				}
				e.note("the store executes a report of %s, and its answer is lost; from now on the store is busy", g.name)
				return loseAnswer
			}
			return serve
		})
		for _, s := range e.servers {
			s.endRuns()
		}
		e.note("the streams end early")
		for end := time.Now().Add(3 * time.Second); refused.Load() == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(30 * time.Millisecond)
	} else {
		for _, s := range e.servers {
			s.endRuns()
		}
		time.Sleep(1200 * time.Millisecond)
	}
	e.note("12 requests with a prompt of 17000 tokens")
	before := len(c.all())
	for range 12 {
		ask(17_000, 80, answerPlan{events: 20, gap: 5 * time.Millisecond})
	}
	for end := time.Now().Add(600 * time.Millisecond); len(c.all()) < before+12 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	used, answered := tokensOf(c.all())
	e.note("the tenant has got %d tokens with %d requests", used, answered)
	if e.trouble {
		g.signal(syscall.SIGKILL)
		<-g.ended
		e.note("%s killed", g.name)
		if err := g.start(false); err != nil {
			return false, "", err
		}
		e.note("%s started again", g.name)
		time.Sleep(300 * time.Millisecond)
		e.store.setFilter(nil)
		e.note("the store serves again")
		if err := g.awaitReady(10 * time.Second); err != nil {
			return false, "", err
		}
	}
	// The tenant goes on until its tokens are spent.
	for range 40 {
		ask(17_000, 80, answerPlan{events: 20, gap: 5 * time.Millisecond})
		time.Sleep(250 * time.Millisecond)
	}
	c.running.Wait()
	results := c.all()
	statuses := map[int]int{}
	for _, r := range results {
		statuses[r.Status]++
		e.note("request %s to %s sent at %.3f s: %d tokens of prompt, status %d, %d events, %.3f s, error %v", r.ID, r.Gateway, r.Sent.Sub(e.start).Seconds(), r.Prompt, r.Status, r.Events, r.Took.Seconds(), r.Err)
	}
	for _, s := range e.servers {
		for _, r := range s.ran() {
			e.note("%s ran request %s of %s: %d tokens of prompt, %d events", r.Server, r.RequestID, r.Tenant, r.Prompt, r.Events)
		}
	}
	used, answered = tokensOf(results)
	return used > reportsPrepaid, fmt.Sprintf("BUDGET: the tenant got %d tokens of %d prepaid with %d answered requests; statuses %v", used, reportsPrepaid, answered, statuses), nil
}
