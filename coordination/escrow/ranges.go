package escrow

import "slices"

// Range is a range of consecutive numbers, including both ends.
type Range struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// Ranges is a set of numbers in sorted, disjoint ranges. It needs little memory if the
// numbers are dense. The zero value is the empty set.
type Ranges []Range

// Contains reports whether n is in the set.
func (r Ranges) Contains(n uint64) bool {
	i := r.search(n)
	return i < len(r) && r[i].First <= n
}

// search returns the index of the first range that ends at n or later.
func (r Ranges) search(n uint64) int {
	i, _ := slices.BinarySearchFunc(r, n, func(e Range, n uint64) int {
		switch {
		case e.Last < n:
			return -1
		case e.Last > n:
			return 1
		}
		return 0
	})
	return i
}

// Add adds n and reports whether it was new.
func (r *Ranges) Add(n uint64) bool {
	i := r.search(n)
	s := *r
	if i < len(s) && s[i].First <= n {
		return false
	}
	left := i > 0 && s[i-1].Last == n-1
	right := i < len(s) && s[i].First == n+1
	switch {
	case left && right:
		s[i-1].Last = s[i].Last
		s = slices.Delete(s, i, i+1)
	case left:
		s[i-1].Last = n
	case right:
		s[i].First = n
	default:
		s = slices.Insert(s, i, Range{First: n, Last: n})
	}
	*r = s
	return true
}
