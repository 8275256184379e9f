// Package rank defines the ranks (priority classes) of requests.
package rank

import "github.com/pkg/errors"

//go:generate stringer -type=Rank -linecomment -output=rank_string.go

// Rank is the priority class of a route. Lower values are served first.
type Rank int

// The ranks, in descending order of priority.
const (
	Urgent Rank = iota // urgent
	Normal             // normal
	Bulk               // bulk
)

// Count is the number of ranks.
const Count = int(Bulk) + 1

// Parse returns the rank with the given name.
func Parse(name string) (Rank, error) {
	for r := Urgent; r <= Bulk; r++ {
		if r.String() == name {
			return r, nil
		}
	}
	return Bulk, errors.Errorf("unknown rank %q: use urgent, normal or bulk", name)
}
