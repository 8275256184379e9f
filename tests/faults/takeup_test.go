package faults_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusline/crocusline/modules/exchange"
)

// retryPause is the time between two attempts of a client.
const retryPause = 100 * time.Millisecond

// clientStream is a stream as its client sees it over several attempts.
type clientStream struct {
	name string

	mu sync.Mutex
	// first is the id of the attempt that brought the first event.
	first string
	// attempts counts the attempts, and outcomes holds those that have ended.
	attempts int
	outcomes []outcome
	// received are the events that arrived whole, and partial is the rest of this attempt's.
	received string
	partial  string
	// problem is what was wrong first with the events.
	problem string
	body    string
}

func newClientStreams(name string, n int) []*clientStream {
	streams := make([]*clientStream, n)
	for i := range streams {
		streams[i] = &clientStream{name: fmt.Sprintf("%s-%d", name, i), body: "body"}
	}
	return streams
}

// events returns the number of events that arrived.
func (s *clientStream) events() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.received, "\n\n")
}

// complete reports whether all events arrived.
func (s *clientStream) complete() bool { return s.events() >= eventsPerStream }

// firstVersion returns the version that the first event of a stream names, or "".
func firstVersion(events string) string {
	first, _, _ := strings.Cut(events, "\n\n")
	_, version, _ := strings.Cut(first, " of ")
	return version
}

// last returns the outcome of the last attempt.
func (s *clientStream) last() outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outcomes) == 0 {
		return outcome{}
	}
	return s.outcomes[len(s.outcomes)-1]
}

// violation describes an event that is missing, comes twice or is of another version than the
// first, or returns "".
func (s *clientStream) violation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.problem
}

// compare notes a problem of the events so far, with the stream locked.
func (s *clientStream) compare() {
	if s.problem != "" || s.received == "" {
		return
	}
	if fits, _ := compareEvents(s.received+s.partial, 0, []string{firstVersion(s.received)}); !fits {
		s.problem = fmt.Sprintf("%s has events that don't fit together: %q", s.name, s.received+s.partial)
	}
}

// next returns the header of the next attempt, and what is known of its outcome.
func (s *clientStream) next() (http.Header, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	o := outcome{id: fmt.Sprintf("%s-try%d", s.name, s.attempts), kind: "draft", after: strings.Count(s.received, "\n\n")}
	header := requestHeader(o.id, o.kind)
	header.Set("Authorization", "Token "+unlimitedKey)
	if o.after > 0 {
		header.Set("Last-Event-Id", fmt.Sprint(o.after))
		header.Set("Resumes", s.first)
	}
	s.partial = ""
	return header, o
}

// read adds bytes of the body of an attempt.
func (s *clientStream) read(id, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partial += text
	last := strings.LastIndex(s.partial, "\n\n")
	if last < 0 {
		return
	}
	end := last + len("\n\n")
	if s.received == "" {
		s.first = id
	}
	s.received += s.partial[:end]
	s.partial = s.partial[end:]
}

// send begins the stream at the gateway, or takes it up there, and reads until the response ends.
// The changes are made to the header.
func (s *clientStream) send(ctx context.Context, g *gateway, changes ...func(http.Header)) outcome {
	header, o := s.next()
	for _, change := range changes {
		change(header)
	}
	o = s.exchange(ctx, g, header, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compare()
	s.outcomes = append(s.outcomes, o)
	return o
}

func (s *clientStream) exchange(ctx context.Context, g *gateway, header http.Header, o outcome) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	// Clients try again on new connections.
	client := exchange.New()
	defer func() { _ = client.Close() }()
	resp, err := client.Do(ctx, &exchange.Request{
		Address: g.callerAddress, Method: http.MethodPost, Target: "/draft/x", Host: host, Header: header, Body: []byte(s.body),
	})
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	o.retryAfter = resp.Header.Get("Retry-After")
	buffer := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buffer)
		o.body += string(buffer[:n])
		if o.status == http.StatusOK {
			s.read(o.id, string(buffer[:n]))
		}
		if err != nil {
			o.complete = errors.Is(err, io.EOF)
			return o
		}
	}
}

// begin begins the streams, spread over the gateways, and returns once each has the number of
// events or has ended. The function that it returns waits for their ends.
func begin(ctx context.Context, streams []*clientStream, gateways []*gateway, events int) (wait func()) {
	return run(streams, events, func(i int, s *clientStream) { s.send(ctx, gateways[i%len(gateways)]) })
}

// run calls f for each stream, and returns once each has the number of events or f has returned.
func run(streams []*clientStream, events int, f func(i int, s *clientStream)) (wait func()) {
	var running, begun sync.WaitGroup
	for i, s := range streams {
		ended := make(chan struct{})
		running.Go(func() {
			defer close(ended)
			f(i, s)
		})
		begun.Go(func() {
			for s.events() < events {
				select {
				case <-ended:
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
	begun.Wait()
	return running.Wait
}

// takeUp takes the streams up, in at most the number of attempts, each at another gateway than the
// one before. Without an event they begin. The changes are made to the header.
func takeUp(ctx context.Context, streams []*clientStream, gateways []*gateway, attempts int, changes ...func(http.Header)) {
	run(streams, 0, func(i int, s *clientStream) {
		for n := 0; n < attempts && !s.complete(); n++ {
			if n > 0 {
				time.Sleep(retryPause)
			}
			s.send(ctx, gateways[(i+n+1)%len(gateways)], changes...)
		}
	})()
}

// begun returns the streams that have events and aren't complete.
func begun(streams []*clientStream) []*clientStream {
	return slices.DeleteFunc(slices.Clone(streams), func(s *clientStream) bool { return s.events() == 0 || s.complete() })
}

// completed returns the number of streams of which all events arrived.
func completed(streams []*clientStream) int {
	n := 0
	for _, s := range streams {
		if s.complete() {
			n++
		}
	}
	return n
}

// accepted describes the streams whose last attempt wasn't refused with a status that guarantees
// that it didn't run, or ran nevertheless.
func (f *fleet) accepted(streams []*clientStream) string {
	n, example := 0, ""
	for _, s := range streams {
		o, ran := s.last(), 0
		for _, server := range f.servers {
			ran += server.ExecutionCount(o.id)
		}
		if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && o.seal == "" && ran == 0 {
			continue
		}
		n++
		example = fmt.Sprintf("%s got status %d and %d events, and was executed %d times", o.id, o.status, o.eventCount(), ran)
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d were not refused, such as %s", n, len(streams), example)
}

// joined describes the streams with events of two versions.
func joined(streams []*clientStream) string {
	n, example := 0, ""
	for _, s := range streams {
		if problem := s.violation(); problem != "" {
			n++
			example = problem
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d streams are joined, such as %s", n, len(streams), example)
}
