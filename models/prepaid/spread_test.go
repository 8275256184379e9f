package prepaid

import "testing"

// TestSpread checks which demand each of 20 gateways expects for a workspace with a
// demand of 1000 tokens per second.
func TestSpread(t *testing.T) {
	const demand = 1000
	tests := []struct {
		name             string
		requests         []float64
		minimum, maximum float64
	}{
		{"all at one gateway", []float64{40}, 0, 2},
		{"all at two gateways", []float64{20, 20}, 0, 10},
		{"one each at a few gateways", []float64{1, 1, 1, 1, 1, 1}, 200, 4000},
		{"evenly at all gateways", []float64{4, 5, 4, 6, 5, 4, 5, 4, 5, 3, 4, 5, 6, 4, 5, 4, 5, 4, 5, 4}, 30, 4000},
		{"a single request", []float64{1}, 100, 1000},
		{"no request", nil, 0, 0},
	}
	for _, tt := range tests {
		s := newSpread(0)
		for i := range 19 {
			if i < len(tt.requests) {
				s.add(tt.requests[i])
			} else {
				s.add(0)
			}
		}
		if got := s.unseenDemand(demand); got < tt.minimum || got > tt.maximum {
			t.Errorf("%s: expected demand per gateway is %.0f tokens per second, want %.0f to %.0f", tt.name, got, tt.minimum, tt.maximum)
		}
	}
}
