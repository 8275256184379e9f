// Package lineage records at which software version each stream began. What two versions write
// doesn't fit together, so a stream continues only at servers of the version that began it: within a
// response, and over the requests of a caller that takes it up again, at any gateway. The load that it
// answers are streams that break off while several versions are in service, or while all gateways are
// killed at once.
package lineage

// Origin is where a stream began: the pool, and the version of the software of the server that sent the
// first event.
type Origin struct {
	Pool    string
	Version string
}

// Known reports whether the version is known. A stream of unknown origin can't be continued.
func (o Origin) Known() bool { return o.Version != "" }
