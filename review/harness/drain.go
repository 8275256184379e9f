//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case, from the removal of the entries on.
const (
	// drainBound is drain_ms of the site.
	drainBound = 2 * time.Second
	// copyAge is how old the copy is when the store returns from it, and awayTime how long the
	// store is away before.
	removalToAway = 2300 * time.Millisecond
	awayTime      = 700 * time.Millisecond
	copyLead      = 1500 * time.Millisecond
	// rewriteTime is how long after the return the removals are written again.
	rewriteTime = time.Second
	// exitTime is when the servers exit: drainBound and some seconds.
	exitTime    = 5500 * time.Millisecond
	leaveCount  = 2
	drainLength = 18 * time.Second
	warmUp      = 5 * time.Second
)

// playDrain removes servers that never report draining, and has the store return from a copy
// that is older than that.
func playDrain(w *world) ([]string, error) {
	end := time.Now().Add(drainLength)
	// The rates of kolplat's requests to its model servers.
	w.send("dossier", time.Second/17, end)
	w.send("quote", time.Second/12, end)
	w.send("phototag", time.Second/18, end)
	time.Sleep(warmUp)
	w.store.copy()
	w.note("the store is copied")
	time.Sleep(copyLead)
	leaving := w.servers[:leaveCount]
	var mu sync.Mutex
	readBy := map[string]time.Time{}
	removedEnd := 0
	w.store.serversRead = func(gateway string, end int) {
		mu.Lock()
		defer mu.Unlock()
		if _, known := readBy[gateway]; !known && removedEnd > 0 && end >= removedEnd {
			readBy[gateway] = time.Now()
		}
	}
	mu.Lock()
	for _, s := range leaving {
		s.listed.Store(false)
		removedEnd = w.store.put("keyed.servers", s.id, nil)
		w.note("the entry of %s is removed", s.id)
	}
	removedAt := time.Now()
	mu.Unlock()
	time.AfterFunc(exitTime, func() {
		for _, s := range leaving {
			w.note("%s exits", s.id)
			s.stop()
		}
	})
	time.Sleep(removalToAway)
	mu.Lock()
	known := len(readBy)
	for gateway, at := range readBy {
		w.note("%s has read the removal, %s after it", gateway, at.Sub(removedAt).Round(time.Millisecond))
	}
	mu.Unlock()
	if known < gatewayCount {
		return nil, fmt.Errorf("%d of %d gateways have read the removal: %w", known, gatewayCount, errNotRun)
	}
	if w.trouble {
		w.drill(leaving)
	}
	time.Sleep(time.Until(end))
	w.clients.Wait()
	return w.lateArrivals(leaving, removedAt), nil
}

// drill makes the store go away and return from the copy. Operator and servers write again
// what they had written.
func (w *world) drill(leaving []*server) {
	w.store.goAway()
	w.note("the store is away")
	time.Sleep(awayTime)
	w.store.comeBack()
	w.note("the store is back from the copy")
	w.publish()
	for _, s := range w.servers[len(leaving):] {
		go s.write()
	}
	time.AfterFunc(rewriteTime, func() {
		for _, s := range leaving {
			w.store.put("keyed.servers", s.id, nil)
			w.note("the entry of %s is removed again", s.id)
		}
	})
}

// lateArrivals returns the requests that reached a leaving server later than drainBound after
// the removal was acknowledged.
func (w *world) lateArrivals(leaving []*server, removedAt time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	byID := map[string]outcome{}
	for _, o := range w.outcomes {
		byID[o.id] = o
	}
	var broken []string
	for _, a := range w.arrivals {
		late := a.at.Sub(removedAt)
		if !a.ran || late <= drainBound {
			continue
		}
		for _, s := range leaving {
			if a.server == s.id {
				o := byID[a.id]
				broken = append(broken, fmt.Sprintf("request %s (%s) reached %s %.2f s after its removal; its client got %d, complete=%t",
					a.id, o.route, s.id, late.Seconds(), o.status, o.complete))
			}
		}
	}
	return broken
}
