//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case, from its start.
const (
	rollingCopyAt = 5500 * time.Millisecond
	// rollingFirstAt and rollingSecondAt are when the gateway gets SIGTERM, in two planned
	// restarts, and restartDelay how long after its end it is started again.
	rollingFirstAt  = 6 * time.Second
	rollingSecondAt = 15 * time.Second
	restartDelay    = time.Second
	// rollingAway is how long the store is away while the gateway restarts for the first time.
	rollingAway   = 700 * time.Millisecond
	rollingLength = 42 * time.Second
	// checkInterval is the time between two readiness checks of the platform.
	checkInterval = time.Second
)

// Requests a second: until the first restart, until the second has ended, and after it.
const (
	usualRate = 48
	calmRate  = 12
	laterRate = 60
)

func prepareRolling(w *world) { w.prepaid, w.promptTokens = 9_000_000, 10_000 }

// playRolling restarts a gateway twice in a planned way, with a drill of the store during the
// first restart, and checks what the tenant got.
func playRolling(w *world) ([]string, error) {
	begin := time.Now()
	end := begin.Add(rollingLength)
	at := func(t time.Duration) { time.Sleep(time.Until(begin.Add(t))) }
	var rate atomic.Int64
	rate.Store(usualRate)
	go w.check(end)
	w.clients.Go(func() { w.load(&rate, end) })
	at(rollingCopyAt)
	w.store.copy()
	w.note("the store is copied")
	at(rollingFirstAt)
	if err := w.restart(w.gateways[0], w.drillBriefly); err != nil {
		return nil, err
	}
	rate.Store(calmRate)
	at(rollingSecondAt)
	if err := w.restart(w.gateways[0], func() {}); err != nil {
		return nil, err
	}
	rate.Store(laterRate)
	time.Sleep(time.Until(end))
	w.clients.Wait()
	return w.overspent(), nil
}

// restart stops the gateway and starts it again, and calls meanwhile while it is down.
func (w *world) restart(g *gateway, meanwhile func()) error {
	w.note("SIGTERM to %s", g.name)
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	_ = g.cmd.Wait()
	ended := time.Now()
	w.note("%s has ended", g.name)
	meanwhile()
	time.Sleep(time.Until(ended.Add(restartDelay)))
	return w.run(g)
}

// drillBriefly has a drill of the store unless the case is played without its disruption.
func (w *world) drillBriefly() {
	if !w.trouble {
		return
	}
	w.store.goAway()
	w.note("the store is away")
	time.Sleep(rollingAway)
	w.store.comeBack()
	w.note("the store is back from the copy")
	w.publish()
	for _, s := range w.servers {
		go s.write()
	}
}

// check asks the gateways for their readiness as the platform does, and takes those out that
// failed twice.
func (w *world) check(end time.Time) {
	client := &http.Client{Timeout: checkInterval}
	for _, g := range w.gateways {
		go func() {
			for misses := 0; time.Now().Before(end); time.Sleep(checkInterval) {
				resp, err := client.Get("http://" + g.ready + "/api/readiness")
				if err == nil {
					_ = resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					misses = 0
				} else {
					misses++
				}
				g.out.Store(misses >= 2)
			}
		}()
	}
}

// load sends requests at the rate to the gateways in rotation.
func (w *world) load(rate *atomic.Int64, end time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 12 * time.Second}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Second / time.Duration(rate.Load()))
		for range w.gateways {
			if !w.gateways[n%gatewayCount].out.Load() {
				break
			}
			n++
		}
		g := w.gateways[n%gatewayCount]
		w.clients.Go(func() { w.request(client, g, "quote") })
	}
}

// overspent returns by how much the tenant got more than its prepaid total: the prompt of each
// request that ran, and the events that its caller received.
func (w *world) overspent() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := map[string]bool{}
	for _, a := range w.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	var used int64
	statuses := map[int]int{}
	for _, o := range w.outcomes {
		statuses[o.status]++
		if ran[o.id] {
			used += w.promptTokens + tokensPerEvent*int64(strings.Count(o.body, "\n\n"))
		}
	}
	_, _ = fmt.Fprintf(w.record, "the tenant got %d tokens and had paid for %d; answers by status: %v\n", used, w.prepaid, statuses)
	if used > w.prepaid {
		return []string{fmt.Sprintf("the tenant got %d tokens, and had paid for %d", used, w.prepaid)}
	}
	return nil
}
