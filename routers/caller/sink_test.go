package caller

import "testing"

func TestAcceptIsNotifiedOnce(t *testing.T) {
	calls := 0
	s := &acceptNotifier{Sink: &textSink{}, onAccept: func() { calls++ }}
	for range 2 {
		if err := s.Accepted("r1", "s1", 0); err != nil {
			t.Fatal(err)
		}
	}
	if calls != 1 {
		t.Errorf("onAccept called %d times for one request", calls)
	}
}
