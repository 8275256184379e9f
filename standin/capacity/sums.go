package capacity

import "math"

// The size that the project is designed for.
const (
	nodes          = 400
	servers        = 600
	requests       = 2300.0
	tokens         = 590000.0
	tokenGap       = 0.049
	budgets        = 14000
	workspaces     = 3900
	changesPerDay  = 3100.0
	replacedPerDay = 59.0
	secondsPerDay  = 86400.0
)

// What the deployment at that size is given.
const (
	shards = 64
	// batchesPerSecond is how often a shard's owner appends while it is busy.
	batchesPerSecond = 2.0
	// keyWindow is how long the ledger remembers a request's bill, in seconds.
	keyWindow = 900.0
	// checkpointsPerDay is for each stream.
	checkpointsPerDay = 288.0
	// onceShare is the part of the requests that is not idempotent.
	onceShare = 0.1
	// grantsPerRequest is how often a request makes its entry draw an allowance.
	grantsPerRequest = 0.1
	// changeSeconds is how long the change measures take.
	changeSeconds = 5.0
	// logAppends is what the log takes, in appends a second.
	logAppends = 300.0
)

// Limits for control of a node.
const (
	cpuLimit     = 1.2
	memoryLimit  = 32.0
	trafficLimit = 5.0
)

// Sum is what one role needs of one resource.
type Sum struct {
	Role     string
	Resource string
	// Terms say how the amount comes about.
	Terms  string
	Amount float64
	Unit   string
	// Limit is 0 where none is set.
	Limit float64
	// Mechanism is what carries the load.
	Mechanism string
}

// Over says whether the sum exceeds its limit.
func (s Sum) Over() bool {
	return s.Limit > 0 && s.Amount > s.Limit
}

// slopes are the results by measure.
type slopes map[string]Result

// of returns the cost of n of what the measure counts, without its base.
func (s slopes) of(name string, n float64) float64 {
	return math.Max(0, s[name].Slope) * n
}

// base returns the cost at size 0, as sampled or else as the line says.
func (s slopes) base(name string) float64 {
	r := s[name]
	if len(r.Sizes) > 0 && r.Sizes[0] == 0 {
		return r.Values[0]
	}
	return math.Max(0, r.Base)
}

const (
	megabyte = 1 << 20
	kilobyte = 1 << 10
	// microsecondsPerPercent is one percent of a core for a second.
	microsecondsPerPercent = 1e4
)

// sums works out each role's needs at the size.
func sums(s slopes) []Sum {
	shardRequests := requests / shards
	members := float64(nodes + servers)
	state := s.of(stateWorkspace, workspaces) + s.of(stateMember, members)
	shardState := s.of(ledgerBudget, budgets/shards) + s.of(ledgerHolder, nodes) + s.of(ledgerKey, shardRequests*keyWindow)
	control := (s.of(changeBytes, 1)*changesPerDay + s.of(memberBytes, 1)*replacedPerDay) / secondsPerDay
	controlCheckpoint := s.of(snapshotWorkspace, workspaces) + s.of(snapshotMember, members)
	shardRecords := shardRequests * (s.of(billBytes, 1) + s.of(grantBytes, grantsPerRequest) + s.of(registerBytes, onceShare))
	shardCheckpoint := (s.of(ledgerSnapshot, budgets/shards) + s.of(keySnapshot, shardRequests*keyWindow)) * checkpointsPerDay / secondsPerDay
	changeCPU := s.of(entryChange, changesPerDay/secondsPerDay)
	foldCPU := s.of(billTime, shardRequests)
	streamsOpen := tokens * tokenGap
	return []Sum{
		{"entry, control", "memory", "idle process + tables of 3,900 workspaces + 1,000 members + placement of 600 servers", (s.base(entryStream) + state + s.of(placementServer, servers)) / megabyte, "MB", memoryLimit, "one immutable state behind a pointer; candidates, not load tables"},
		{"entry, control", "processor", "idle process + 3,100 changes a day", (s.base(entryChange)/changeSeconds + changeCPU) / microsecondsPerPercent, "% of a core", cpuLimit, "deltas on one small stream"},
		{"entry, control", "traffic", "idle process with 4 shards + changes and registrations", (s.base(entryTraffic)/changeSeconds + control) / kilobyte, "KB/s", trafficLimit, "long poll of one stream; deltas, checkpoints as wholes"},
		{"entry, requests", "processor", "5.75 requests/s and 1,475 tokens/s", (s.of(entryRequest, requests/nodes) + s.of(entryToken, tokens/nodes)) / microsecondsPerPercent, "% of a core", 0, "chunks of what is ready, no copy of full answers between roles"},
		{"entry, requests", "memory", "72 open streams", s.of(entryStream, streamsOpen/nodes) / megabyte, "MB", 0, "connections on demand, closed when idle"},
		{"sidecar, control", "memory", "idle process + tables of 3,900 workspaces + 1,000 members", (s.base(sidecarStream) + state) / megabyte, "MB", memoryLimit, "one immutable state behind a pointer"},
		{"sidecar, control", "traffic", "changes and registrations, and 3.8 bills/s to the owners", (control + s.of(billBytes, requests/servers)) / kilobyte, "KB/s", trafficLimit, "bills in batches"},
		{"sidecar, requests", "processor", "3.8 requests/s and 983 tokens/s", (s.of(sidecarRequest, requests/servers) + s.of(sidecarToken, tokens/servers)) / microsecondsPerPercent, "% of a core", 0, "one goroutine decides, relays read by position"},
		{"sidecar, requests", "memory", "48 open streams", s.of(sidecarStream, streamsOpen/servers) / megabyte, "MB", 0, "bounded record of answers"},
		{"shard owner", "memory", "219 budgets, 400 holders, 32,344 bills in the window", shardState / megabyte, "MB", memoryLimit, "64 shards; window of bills by the log's clock, ranges of settled holds"},
		{"shard owner", "processor", "36 bills/s folded", foldCPU / microsecondsPerPercent, "% of a core", cpuLimit, "the fold"},
		{"shard owner", "traffic", "records in, appended and read back", 3 * shardRecords / kilobyte, "KB/s", trafficLimit, "batches of many processes' entries in one append"},
		{"shard owner", "traffic of checkpoints", "288 a day", shardCheckpoint / kilobyte, "KB/s", trafficLimit, "checkpoints well before retention"},
		{"log", "appends", "64 shards x 2 a second + control", shards*batchesPerSecond + (changesPerDay+replacedPerDay)/secondsPerDay, "1/s", logAppends / 2, "one append in flight a shard; allowances"},
		{"log", "control checkpoint", "3,900 workspaces, 1,000 members", controlCheckpoint / kilobyte, "KB", 0, "written by one entry in turn"},
	}
}
