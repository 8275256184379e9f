//go:build review2

package main

import (
	"context"
	"fmt"
	"time"
)

// playCrash kills one of six servers while streams run, of which 1 in 20 has no length.
func playCrash(e *environment) (bool, string, error) {
	e.store.put("keyed.op", "config", engineConfig(1_000_000_000))
	zones := []string{"za-a", "za-b", "za-c"}
	var servers []*serverProcess
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	for i := range 6 {
		s, err := e.startServerProcess(fmt.Sprintf("i-engine-%d", i+1), "crocus-pool", zones[i%len(zones)])
		if err != nil {
			return false, "", err
		}
		servers = append(servers, s)
	}
	if err := e.startGateways(4); err != nil {
		return false, "", err
	}
	const events = 60
	c := &recorder{}
	stop := time.Now().Add(12 * time.Second)
	killed := false
	for i := 0; time.Now().Before(stop); i++ {
		c.send(context.Background(), request{
			Gateway: e.gateways[i%len(e.gateways)], Host: dossierHost, Path: dossierPath, Key: tenantKey,
			Prompt: 1000, Output: 4 * events * 2, Plan: answerPlan{events: events, gap: 100 * time.Millisecond}, Deadline: 12 * time.Second,
		})
		if e.trouble && !killed && time.Until(stop) < 4*time.Second {
			killed = true
			servers[0].kill()
			e.note("%s killed", servers[0].id)
		}
		time.Sleep(25 * time.Millisecond)
	}
	c.running.Wait()
	short, complete, broken := 0, 0, 0
	for _, r := range c.all() {
		text := "ended early, and looked so"
		switch {
		case r.Status != 200:
			text = "was refused or failed"
		case r.Complete && r.Events == events:
			complete++
			text = "was complete"
		case r.Complete:
			short++
			text = "LOOKED COMPLETE AND WAS CUT"
		default:
			broken++
		}
		e.note("request %s to %s sent at %.3f s, seal %s: status %d, %d of %d events, %.3f s: %s", r.ID, r.Gateway, r.Sent.Sub(e.start).Seconds(), r.Seal, r.Status, r.Events, events, r.Took.Seconds(), text)
	}
	return short > 0, fmt.Sprintf("ORDER: %d streams ended as complete before their last event; %d were complete, %d broke off visibly", short, complete, broken), nil
}

// statusConfig has a route for lookups, which may be repeated.
func statusConfig() map[string]any {
	config := engineConfig(1_000_000_000)
	config["routes"] = []map[string]any{{
		"name": "status", "host": dossierHost, "path_prefix": statusPath, "type": "idempotent", "service": "shopdesk",
		"timeout_ms": 800, "goal_ms": 100, "priority": 2, "max_attempts": 2,
	}}
	config["services"] = []map[string]any{{"name": "shopdesk", "health_path": "/health", "max_conns": 100}}
	return config
}

// playCut kills one of six servers while it sends the second half of an answer without a length.
func playCut(e *environment) (bool, string, error) {
	e.store.put("keyed.op", "config", statusConfig())
	zones := []string{"za-a", "za-b", "za-c"}
	var servers []*serverProcess
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	for i := range 6 {
		s, err := e.startServerProcess(fmt.Sprintf("i-desk-%d", i+1), "shopdesk", zones[i%len(zones)])
		if err != nil {
			return false, "", err
		}
		servers = append(servers, s)
	}
	if err := e.startGateways(4); err != nil {
		return false, "", err
	}
	c := &recorder{}
	stop := time.Now().Add(8 * time.Second)
	killed := make(chan struct{})
	if e.trouble {
		go func() {
			defer close(killed)
			time.Sleep(3 * time.Second)
			for len(e.halves) > 0 {
				<-e.halves
			}
			select {
			case h := <-e.halves:
				h.server.kill()
				e.note("%s killed after it had sent half of the answer to request %s", h.server.id, h.request)
			case <-time.After(4 * time.Second):
				e.note("no server sent an answer without a length")
			}
		}()
	} else {
		close(killed)
	}
	for i := 0; time.Now().Before(stop); i++ {
		c.send(context.Background(), request{
			Gateway: e.gateways[i%len(e.gateways)], Host: dossierHost, Path: statusPath + "1", Key: tenantKey, Plain: true, Method: "GET",
			Deadline: 1500 * time.Millisecond,
		})
		time.Sleep(10 * time.Millisecond)
	}
	c.running.Wait()
	<-killed
	cut, whole, other := 0, 0, 0
	for _, r := range c.all() {
		text := "was whole"
		switch {
		case r.Status == 200 && r.Complete && len(r.Body) == statusBytes:
			whole++
		case r.Status == 200 && r.Complete:
			cut++
			text = "LOOKED COMPLETE AND WAS CUT"
		default:
			other++
			text = "failed visibly"
		}
		e.note("request %s to %s sent at %.3f s, seal %s: status %d, %d of %d bytes, %.3f s: %s", r.ID, r.Gateway, r.Sent.Sub(e.start).Seconds(), r.Seal, r.Status, len(r.Body), statusBytes, r.Took.Seconds(), text)
	}
	return cut > 0, fmt.Sprintf("MIXED: %d successes with a part of the server's body; %d were whole, %d failed visibly", cut, whole, other), nil
}
