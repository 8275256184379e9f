package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	client "github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/standin/platform"
)

func Example() {
	store := platform.New()
	log := store.LogFor("entry-1")
	ctx := context.Background()
	offset, err := log.Append(ctx, "control", []byte("first"))
	fmt.Println(offset, err)
	batch, err := log.Read(ctx, "control", 0, 10, 0)
	fmt.Println(string(batch.Records[0].Data), batch.Next, err)
	// Output:
	// 0 <nil>
	// first 1 <nil>
}

func appendAll(t *testing.T, log client.Log, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if _, err := log.Append(t.Context(), "s", []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}

func wantUnavailable(t *testing.T, err error) {
	t.Helper()
	var unavailable *client.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("error %v, want an UnavailableError", err)
	}
}

func TestReadLimit(t *testing.T) {
	log := platform.New().LogFor("a")
	appendAll(t, log, "0", "1", "2", "3")
	batch, err := log.Read(t.Context(), "s", 1, 2, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(batch.Records) != 2 || batch.Records[0].Offset != 1 || string(batch.Records[1].Data) != "2" || batch.Next != 4 {
		t.Errorf("batch %+v", batch)
	}
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{RetainRecords: 3}))
		log := store.LogFor("a")
		appendAll(t, log, "0", "1", "2", "3", "4")
		_, err := log.Read(t.Context(), "s", 1, 10, 0)
		var gap *client.GapError
		if !errors.As(err, &gap) || gap.Oldest != 2 {
			t.Fatalf("error %v, want a gap up to 2", err)
		}
		if err := store.MergeFaults([]byte(`{"retainFor":"1m"}`)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		appendAll(t, log, "5")
		time.Sleep(31 * time.Second)
		batch, err := log.Read(t.Context(), "s", 5, 10, 0)
		if err != nil || batch.Oldest != 5 || batch.Next != 6 || len(batch.Records) != 1 {
			t.Errorf("batch %+v, error %v", batch, err)
		}
	})
}

func TestAppendLimit(t *testing.T) {
	now := time.Unix(0, 0)
	store := platform.New(
		platform.WithClock(func() time.Time { return now }),
		platform.WithFaults(platform.Faults{AppendsPerSecond: 20}),
	)
	log := store.LogFor("a")
	accepted := 0
	for range 100 {
		_, err := log.Append(t.Context(), "s", nil)
		var limit *client.LimitError
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &limit):
			t.Fatal(err)
		}
		now = now.Add(10 * time.Millisecond)
	}
	// A burst of 2, and 20 within the second.
	if accepted < 20 || accepted > 22 || store.Appends() != int64(accepted) {
		t.Errorf("%d appends accepted and %d stored, want 20 to 22", accepted, store.Appends())
	}
}

func TestAppendWithLostResponseTakesEffect(t *testing.T) {
	store := platform.New(platform.WithFaults(platform.Faults{LoseNextAnswers: 1}))
	log := store.LogFor("a")
	_, err := log.Append(t.Context(), "s", []byte("x"))
	wantUnavailable(t, err)
	appendAll(t, log, "y")
	if store.Appends() != 2 {
		t.Errorf("%d records, want 2", store.Appends())
	}
}

func TestLostResponsesAreSeeded(t *testing.T) {
	count := func() int {
		store := platform.New(platform.WithSeed(7), platform.WithFaults(platform.Faults{LoseAnswerShare: 0.2}))
		lost := 0
		for range 1000 {
			if _, err := store.LogFor("a").Append(t.Context(), "s", nil); err != nil {
				lost++
			}
		}
		return lost
	}
	first, second := count(), count()
	if first != second || first < 150 || first > 250 {
		t.Errorf("lost %d, then %d, of 1000 responses; want equal counts from 150 to 250", first, second)
	}
}

func TestPartitionEndsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		ended := make(chan error, 1)
		go func() {
			_, err := store.LogFor("entry-1/0190").Read(t.Context(), "s", 0, 1, time.Minute)
			ended <- err
		}()
		synctest.Wait()
		store.SetFaults(platform.Faults{Cut: []string{"entry-1"}})
		wantUnavailable(t, <-ended)
		_, err := store.LogFor("entry-1").Append(t.Context(), "s", nil)
		wantUnavailable(t, err)
		appendAll(t, store.LogFor("entry-10"), "x")
	})
}

func TestHangAndSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(platform.WithFaults(platform.Faults{Outage: true, Hang: true}))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		begin := time.Now()
		_, err := store.LogFor("a").Append(ctx, "s", nil)
		wantUnavailable(t, err)
		if time.Since(begin) != 5*time.Second {
			t.Errorf("append returned after %s, want 5 s, when its context ended", time.Since(begin))
		}
		if err := store.MergeFaults([]byte(`{"outage":false,"slowness":"2s"}`)); err != nil {
			t.Fatal(err)
		}
		begin = time.Now()
		appendAll(t, store.LogFor("a"), "x")
		if time.Since(begin) != 2*time.Second || store.Appends() != 1 {
			t.Errorf("append took %s, want 2 s; %d appends, want 1", time.Since(begin), store.Appends())
		}
	})
}

func TestInstanceLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New()
		store.PutInstance(client.Instance{Name: "a"})
		store.SetFaults(platform.Faults{InstanceLag: 3000000000})
		time.Sleep(3 * time.Second)
		store.PutInstance(client.Instance{Name: "b", Leaving: true})
		store.RemoveInstance("a")
		if list := store.Instances(); len(list) != 1 || list[0].Name != "a" {
			t.Errorf("list before the lag has passed: %+v, want only a", list)
		}
		time.Sleep(3 * time.Second)
		if list := store.Instances(); len(list) != 1 || list[0].Name != "b" {
			t.Errorf("list after the lag has passed: %+v, want only b", list)
		}
	})
}

// namedTransport adds the client's name to each request.
type namedTransport struct {
	name string
}

func (n namedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(platform.ClientHeader, n.name)
	return http.DefaultTransport.RoundTrip(r)
}

func TestOverHTTP(t *testing.T) {
	store := platform.New(platform.WithFaults(platform.Faults{RetainRecords: 2}))
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	c := client.NewClient(&http.Client{Transport: namedTransport{name: "a"}}, server.URL)
	appendAll(t, c, "0", "1", "2")
	batch, err := c.Read(t.Context(), "s", 1, 0, 0)
	if err != nil || len(batch.Records) != 2 || batch.Records[0].Time.IsZero() {
		t.Errorf("batch %+v, error %v", batch, err)
	}
	_, err = c.Read(t.Context(), "s", 0, 10, 0)
	var gap *client.GapError
	if !errors.As(err, &gap) {
		t.Errorf("error %v, want a gap", err)
	}
	store.PutInstance(client.Instance{Name: "x", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	if list, err := c.Instances(t.Context()); err != nil || len(list) != 1 {
		t.Errorf("list %+v, error %v", list, err)
	}
	store.SetFaults(platform.Faults{AppendsPerSecond: 1})
	appendAll(t, c, "3")
	_, err = c.Append(t.Context(), "s", nil)
	var limit *client.LimitError
	if !errors.As(err, &limit) {
		t.Errorf("error %v, want a limit", err)
	}
	store.SetFaults(platform.Faults{Cut: []string{"a"}})
	_, err = c.Append(t.Context(), "s", nil)
	wantUnavailable(t, err)
}

func FuzzMergeFaults(f *testing.F) {
	f.Add([]byte(`{"cut":["a"],"slowness":"1s","appendsPerSecond":400}`))
	f.Add([]byte(`{"retainFor":"-1s"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		store := platform.New()
		if err := store.MergeFaults(data); err != nil {
			return
		}
		if faults := store.Faults(); faults.Slowness < 0 || faults.RetainFor < 0 {
			t.Errorf("negative duration in %+v", faults)
		}
	})
}
