package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/gateway"
)

// TestGatewaysCountedOutAfterPause guards against gateways that count as silent as the observer did not run, alone or
// together with them, and against ones that don't although they ended.
func TestGatewaysCountedOutAfterPause(t *testing.T) {
	const (
		limit         = 3 * time.Second
		writeInterval = 250 * time.Millisecond
		readInterval  = 300 * time.Millisecond
		step          = 10 * time.Millisecond
		stopAt        = 10 * time.Second
		end           = 40 * time.Second
	)
	for _, stop := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		for _, together := range []bool{false, true} {
			t.Run(fmt.Sprintf("stop %s, together %t", stop, together), func(t *testing.T) {
				epoch := time.Unix(0, 0)
				p := gateway.NewPresence()
				p.Record(epoch, "living")
				p.Record(epoch, "ended")
				// unread is whether the living gateway has written since the last read.
				unread, silentSince := false, time.Duration(0)
				readSentAt := time.Duration(0)
				for now := time.Duration(0); now < end; now += step {
					stopped := now >= stopAt && now < stopAt+stop
					if now%writeInterval == 0 && (!stopped || !together) {
						unread = true
					}
					if stopped {
						continue
					}
					at := epoch.Add(now)
					if p.Silent(at, "living", limit) {
						t.Fatalf("the living gateway counts as silent at %s", now)
					}
					if silentSince == 0 && p.Silent(at, "ended", limit) {
						silentSince = now
					}
					if now-readSentAt >= readInterval {
						// The read that was under way when the process was stopped has nothing of the meantime.
						if late := now-readSentAt > readInterval+step; unread && !late {
							p.Record(at, "living")
							unread = false
						}
						p.RecordRead(epoch.Add(readSentAt))
						readSentAt = now
					}
				}
				if silentSince == 0 || silentSince > limit+readInterval {
					t.Errorf("the gateway that ended counts as silent after %s", silentSince)
				}
			})
		}
	}
}

// TestSilence checks which times without a record count.
func TestSilence(t *testing.T) {
	epoch := time.Unix(0, 0)
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name   string
		events func(p *gateway.Presence)
		now    float64
		want   bool
	}{
		{"read all the while", func(p *gateway.Presence) { p.RecordRead(at(1)); p.RecordRead(at(2)); p.RecordRead(at(3.2)) }, 3.3, true},
		{"not read for long", func(p *gateway.Presence) { p.RecordRead(at(1)) }, 5, false},
		{"read again after a pause", func(p *gateway.Presence) { p.RecordRead(at(1)); p.RecordRead(at(5)) }, 5.1, false},
		{"read for long after a pause", func(p *gateway.Presence) {
			for _, s := range []float64{1, 5, 6, 7, 8, 8.5} {
				p.RecordRead(at(s))
			}
		}, 8.6, true},
		{"after an outage", func(p *gateway.Presence) {
			p.RecordRead(at(2))
			p.RecordUnreadable()
			p.RecordRead(at(3.2))
		}, 3.3, false},
		{"never read", func(*gateway.Presence) {}, 9, false},
	}
	for _, tt := range tests {
		p := gateway.NewPresence()
		p.Record(epoch, "a")
		tt.events(p)
		if got := p.Silent(at(tt.now), "a", 3*time.Second); got != tt.want {
			t.Errorf("%s: silent %t, want %t", tt.name, got, tt.want)
		}
	}
}
