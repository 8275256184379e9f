package prepaid

const (
	// usualCollision is the assumed probability that two requests of a workspace come
	// to one entry, and usualPairs the number of pairs for which that counts: the
	// operators have workspaces of both sorts, more of those that reach all entries.
	usualCollision = 0.15
	usualPairs     = 3
	// fewestCollisions keeps the estimate finite where requests collide less often
	// than by chance.
	fewestCollisions = 0.01
)

// spread tells how evenly the requests of a workspace reach the entries.
type spread struct {
	entries int
	seen    float64
	// collisions is the number of ordered pairs of requests at one entry.
	collisions float64
}

func newSpread(seen float64) *spread {
	s := &spread{}
	s.add(seen)
	return s
}

// add counts an entry that saw that many requests.
func (s *spread) add(seen float64) {
	s.entries++
	s.seen += seen
	s.collisions += max(0, seen*(seen-1))
}

// unseen returns the demand to expect of each entry beyond what it saw, for a
// workspace with that demand. Entries are taken as drawn from a symmetric Dirichlet
// distribution whose concentration gives the probability that two requests collide.
func (s *spread) unseen(all float64) float64 {
	if s.entries < 2 || s.seen == 0 {
		return 0
	}
	pairs := max(0, s.seen*(s.seen-1))
	collision := (s.collisions + usualCollision*usualPairs) / (pairs + usualPairs)
	even := 1 / float64(s.entries)
	concentration := max(0, 1-collision) / max(fewestCollisions, collision-even)
	return all / s.seen * concentration / float64(s.entries)
}
