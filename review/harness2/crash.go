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
