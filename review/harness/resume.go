//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// Disruptions of the case, with the site's doses.
const (
	resumeLength = 80 * time.Second
	// crashShare of the servers crash for crashDowntime (kolplat.toml: 0.25, 2 s).
	crashCount    = serverCount / 4
	crashDowntime = 2 * time.Second
	crashPause    = 5 * time.Second
	// greyCount servers fail greyRatio hundredths of their requests for greyLength (share 0.14
	// of 18; kinds: 0.4; kolplat.toml: 6.5 s).
	greyCount  = 2
	greyRatio  = 40
	greyLength = 6500 * time.Millisecond
	greyPause  = 1500 * time.Millisecond
)

// playResume has servers crash while others fail part of their requests, and checks the
// streams that callers get.
func playResume(w *world) ([]string, error) {
	end := time.Now().Add(resumeLength)
	// The rates of kolplat's requests that may be resumed.
	w.send("dossier", time.Second/17, end)
	w.send("phototag", time.Second/18, end)
	if w.trouble {
		go w.crashInTurn(end)
		go w.failInTurn(end)
	}
	time.Sleep(time.Until(end))
	w.clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	whole := wholeStream()
	answered := 0
	for _, o := range w.outcomes {
		if o.status != 200 {
			continue
		}
		answered++
		switch {
		case o.complete && o.body != whole:
			broken = append(broken, fmt.Sprintf("request %s: 200, complete, %d of %d events, the body ends in %q",
				o.id, strings.Count(o.body, "\n\n"), eventCount, o.body[max(0, len(o.body)-60):]))
		case !o.complete && !strings.HasPrefix(whole, o.body) && !strings.HasPrefix(o.body, whole):
			broken = append(broken, fmt.Sprintf("request %s: 200, broken off, with bytes of no event: %q", o.id, o.body[max(0, len(o.body)-60):]))
		}
	}
	if answered == 0 {
		return nil, errNotRun
	}
	return broken, nil
}

// crashInTurn crashes crashCount servers at a time.
func (w *world) crashInTurn(end time.Time) {
	for first := 0; ; first += crashCount {
		time.Sleep(crashPause - crashDowntime)
		if time.Now().After(end.Add(-crashPause)) {
			return
		}
		for i := range crashCount {
			s := w.servers[(first+i)%serverCount]
			w.note("server %s crashes", s.id)
			go s.crash(crashDowntime)
		}
		time.Sleep(crashDowntime)
	}
}

// failInTurn has greyCount servers at a time fail part of their requests.
func (w *world) failInTurn(end time.Time) {
	for first := serverCount / 2; time.Now().Before(end); first += greyCount {
		for i := range greyCount {
			s := w.servers[(first+i)%serverCount]
			w.note("server %s fails part of its requests", s.id)
			s.failRatio.Store(greyRatio)
			time.AfterFunc(greyLength, func() { s.failRatio.Store(0) })
		}
		time.Sleep(greyLength + greyPause)
	}
}
