package prepaid

const (
	// priorCollisionRate is the assumed probability that two requests of a workspace
	// arrive at the same gateway. It has the weight of priorPairs observed pairs. In
	// the operators' deployments, callers of some workspaces use one gateway and
	// those of others, which are more, use all of them.
	priorCollisionRate = 0.15
	priorPairs         = 3
	// minExcessCollisionRate keeps the estimate finite if requests collide less often
	// than by chance.
	minExcessCollisionRate = 0.01
)

// spread estimates how evenly the requests of a workspace are distributed over
// the gateways.
type spread struct {
	gateways int
	requests float64
	// collisions is the number of ordered pairs of requests at the same gateway.
	collisions float64
}

func newSpread(requests float64) *spread {
	s := &spread{}
	s.add(requests)
	return s
}

// add adds a gateway that received this number of requests.
func (s *spread) add(requests float64) {
	s.gateways++
	s.requests += requests
	s.collisions += max(0, requests*(requests-1))
}

// unseenDemand returns the demand to expect at each gateway in addition to what it
// has observed, given the demand of the workspace at all gateways. The gateways'
// shares are modelled by a symmetric Dirichlet distribution, whose concentration
// follows from the probability that two requests collide.
func (s *spread) unseenDemand(total float64) float64 {
	if s.gateways < 2 || s.requests == 0 {
		return 0
	}
	pairs := max(0, s.requests*(s.requests-1))
	collisionRate := (s.collisions + priorCollisionRate*priorPairs) / (pairs + priorPairs)
	chanceRate := 1 / float64(s.gateways)
	concentration := max(0, 1-collisionRate) / max(minExcessCollisionRate, collisionRate-chanceRate)
	return total / s.requests * concentration / float64(s.gateways)
}
