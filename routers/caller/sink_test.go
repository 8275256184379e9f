package caller

import "testing"

func TestAcceptanceIsReportedOnce(t *testing.T) {
	reports := 0
	s := &reportingSink{Sink: &textSink{}, report: func() { reports++ }}
	for range 2 {
		if err := s.Accepted("r1", "s1", 0); err != nil {
			t.Fatal(err)
		}
	}
	if reports != 1 {
		t.Errorf("%d reports of one request", reports)
	}
}
