package prepaid

import "testing"

// TestSpread checks what each of 20 entries may expect of a workspace with a
// demand of 1000 tokens a second.
func TestSpread(t *testing.T) {
	const demand = 1000
	tests := []struct {
		name        string
		seen        []float64
		least, most float64
	}{
		{"all at one", []float64{40}, 0, 2},
		{"all at two", []float64{20, 20}, 0, 10},
		{"a few, one each", []float64{1, 1, 1, 1, 1, 1}, 200, 4000},
		{"many, evenly", []float64{4, 5, 4, 6, 5, 4, 5, 4, 5, 3, 4, 5, 6, 4, 5, 4, 5, 4, 5, 4}, 30, 4000},
		{"a single request", []float64{1}, 100, 1000},
		{"none", nil, 0, 0},
	}
	for _, tt := range tests {
		s := newSpread(0)
		for i := range 19 {
			if i < len(tt.seen) {
				s.add(tt.seen[i])
			} else {
				s.add(0)
			}
		}
		if got := s.unseen(demand); got < tt.least || got > tt.most {
			t.Errorf("%s: %.0f tokens a second are expected of each entry, want %.0f to %.0f", tt.name, got, tt.least, tt.most)
		}
	}
}
