package capacity

import "math"

// The design size.
const (
	entryCount            = 400
	serverCount           = 600
	requestsPerSecond     = 2300.0
	tokensPerSecond       = 590000.0
	tokenIntervalSeconds  = 0.049
	budgetCount           = 14000
	workspaceCount        = 3900
	changesPerDay         = 3100.0
	membersReplacedPerDay = 59.0
	secondsPerDay         = 86400.0
)

// Parameters of a deployment of the design size.
const (
	shardCount = 64
	// shardAppendsPerSecond is the number of appends per second of a busy shard's
	// owner.
	shardAppendsPerSecond = 2.0
	// dedupWindowSeconds is the time for which the ledger keeps a request's bill to
	// detect duplicates.
	dedupWindowSeconds = 900.0
	// checkpointsPerDay is the number of checkpoints of each stream.
	checkpointsPerDay = 288.0
	// nonIdempotentShare is the share of the requests that are not idempotent.
	nonIdempotentShare = 0.1
	// grantsPerRequest is the mean number of allowances that an entry draws per
	// request.
	grantsPerRequest = 0.1
	// changeMeasureSeconds is the duration of the measures of configuration changes.
	changeMeasureSeconds = 5.0
	// logAppendCapacity is the number of appends per second that the log can process.
	logAppendCapacity = 300.0
)

// Limits per process for control work, in percent of a core, MB and KB/s.
const (
	cpuLimit     = 1.2
	memoryLimit  = 32.0
	trafficLimit = 5.0
)

// Requirement is the amount of one resource that one role needs.
type Requirement struct {
	Role     string
	Resource string
	// Terms describes the terms that add up to the amount.
	Terms  string
	Amount float64
	Unit   string
	// Limit is 0 if there is none.
	Limit float64
	// Mechanism is the design choice that keeps the amount low.
	Mechanism string
}

// ExceedsLimit reports whether the amount exceeds the limit.
func (r Requirement) ExceedsLimit() bool {
	return r.Limit > 0 && r.Amount > r.Limit
}

// slopes holds the results by the names of their measures.
type slopes map[string]Result

// cost returns the cost of count items, without the fixed cost.
func (s slopes) cost(name string, count float64) float64 {
	return math.Max(0, s[name].Slope) * count
}

// fixedCost returns the cost at size 0, either as sampled or according to the
// regression.
func (s slopes) fixedCost(name string) float64 {
	r := s[name]
	if len(r.Sizes) > 0 && r.Sizes[0] == 0 {
		return r.Samples[0]
	}
	return math.Max(0, r.Intercept)
}

const (
	megabyte = 1 << 20
	kilobyte = 1 << 10
	// microsecondsPerPercent is the processor time of one percent of a core per
	// second.
	microsecondsPerPercent = 1e4
)

// requirements computes each role's needs at the design size.
func requirements(costs slopes) []Requirement {
	shardRequestsPerSecond := requestsPerSecond / shardCount
	memberCount := float64(entryCount + serverCount)
	stateSize := costs.cost(stateWorkspace, workspaceCount) + costs.cost(stateMember, memberCount)
	shardStateSize := costs.cost(ledgerBudget, budgetCount/shardCount) + costs.cost(ledgerHolder, entryCount) + costs.cost(ledgerKey, shardRequestsPerSecond*dedupWindowSeconds)
	controlTraffic := (costs.cost(changeBytes, 1)*changesPerDay + costs.cost(memberBytes, 1)*membersReplacedPerDay) / secondsPerDay
	controlCheckpointSize := costs.cost(snapshotWorkspace, workspaceCount) + costs.cost(snapshotMember, memberCount)
	shardRecordTraffic := shardRequestsPerSecond * (costs.cost(billBytes, 1) + costs.cost(grantBytes, grantsPerRequest) + costs.cost(registerBytes, nonIdempotentShare))
	shardCheckpointTraffic := (costs.cost(ledgerSnapshot, budgetCount/shardCount) + costs.cost(keySnapshot, shardRequestsPerSecond*dedupWindowSeconds)) * checkpointsPerDay / secondsPerDay
	changeCPU := costs.cost(entryChange, changesPerDay/secondsPerDay)
	billCPU := costs.cost(billTime, shardRequestsPerSecond)
	openStreams := tokensPerSecond * tokenIntervalSeconds
	return []Requirement{
		{"entry, control", "memory", "idle process + tables of 3,900 workspaces + 1,000 members + placement of 600 servers", (costs.fixedCost(entryStream) + stateSize + costs.cost(placementServer, serverCount)) / megabyte, "MB", memoryLimit, "one immutable state behind a pointer; candidates, not load tables"},
		{"entry, control", "processor", "idle process + 3,100 changes a day", (costs.fixedCost(entryChange)/changeMeasureSeconds + changeCPU) / microsecondsPerPercent, "% of a core", cpuLimit, "deltas on one small stream"},
		{"entry, control", "traffic", "idle process with 4 shards + changes and registrations", (costs.fixedCost(entryTraffic)/changeMeasureSeconds + controlTraffic) / kilobyte, "KB/s", trafficLimit, "long poll of one stream; deltas, checkpoints as wholes"},
		{"entry, requests", "processor", "5.75 requests/s and 1,475 tokens/s", (costs.cost(entryRequest, requestsPerSecond/entryCount) + costs.cost(entryToken, tokensPerSecond/entryCount)) / microsecondsPerPercent, "% of a core", 0, "chunks of what is ready, no copy of full answers between roles"},
		{"entry, requests", "memory", "72 open streams", costs.cost(entryStream, openStreams/entryCount) / megabyte, "MB", 0, "connections on demand, closed when idle"},
		{"sidecar, control", "memory", "idle process + tables of 3,900 workspaces + 1,000 members", (costs.fixedCost(sidecarStream) + stateSize) / megabyte, "MB", memoryLimit, "one immutable state behind a pointer"},
		{"sidecar, control", "traffic", "changes and registrations, and 3.8 bills/s to the owners", (controlTraffic + costs.cost(billBytes, requestsPerSecond/serverCount)) / kilobyte, "KB/s", trafficLimit, "bills in batches"},
		{"sidecar, requests", "processor", "3.8 requests/s and 983 tokens/s", (costs.cost(sidecarRequest, requestsPerSecond/serverCount) + costs.cost(sidecarToken, tokensPerSecond/serverCount)) / microsecondsPerPercent, "% of a core", 0, "one goroutine decides, relays read by position"},
		{"sidecar, requests", "memory", "48 open streams", costs.cost(sidecarStream, openStreams/serverCount) / megabyte, "MB", 0, "bounded record of answers"},
		{"shard owner", "memory", "219 budgets, 400 holders, 32,344 bills in the window", shardStateSize / megabyte, "MB", memoryLimit, "64 shards; window of bills by the log's clock, ranges of settled holds"},
		{"shard owner", "processor", "36 bills/s folded", billCPU / microsecondsPerPercent, "% of a core", cpuLimit, "the fold"},
		{"shard owner", "traffic", "records in, appended and read back", 3 * shardRecordTraffic / kilobyte, "KB/s", trafficLimit, "batches of many processes' entries in one append"},
		{"shard owner", "traffic of checkpoints", "288 a day", shardCheckpointTraffic / kilobyte, "KB/s", trafficLimit, "checkpoints well before retention"},
		{"log", "appends", "64 shards x 2 a second + control", shardCount*shardAppendsPerSecond + (changesPerDay+membersReplacedPerDay)/secondsPerDay, "1/s", logAppendCapacity / 2, "one append in flight a shard; allowances"},
		{"log", "control checkpoint", "3,900 workspaces, 1,000 members", controlCheckpointSize / kilobyte, "KB", 0, "written by one entry in turn"},
	}
}
