package relay

import "github.com/crocusline/crocusline/models/lineage"

// recordOrigin records where the stream begins, before its first event is passed on.
func (j *job) recordOrigin() {
	if !j.Begun {
		j.origin = lineage.Origin{Pool: j.pool.Name, Version: j.version}
	}
}
