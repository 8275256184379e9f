package exchange

import "hash/maphash"

// maxRecentIDs is the number of requests on a connection after which a copy of the response to an earlier
// one is no longer expected.
const maxRecentIDs = 8

var idSeed = maphash.MakeSeed()

// recentIDs holds hashes of the ids of the last requests on a connection.
type recentIDs struct {
	hashes [maxRecentIDs]uint64
	count  int
}

func (r *recentIDs) add(id string) {
	if id != "" {
		r.hashes[r.count%maxRecentIDs] = maphash.String(idSeed, id)
		r.count++
	}
}

func (r *recentIDs) contains(id string) bool {
	if id == "" {
		return false
	}
	hash := maphash.String(idSeed, id)
	for _, h := range r.hashes[:min(r.count, maxRecentIDs)] {
		if h == hash {
			return true
		}
	}
	return false
}
