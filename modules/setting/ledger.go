package setting

import "time"

// Ledger configures the ledger of the budgets.
type Ledger struct {
	// Shards is the number of ledger streams. All processes of the fleet must have
	// the same value.
	Shards int `yaml:"shards" validate:"gte=1,lte=1024"`
	// BatchInterval is the time between two appends to one stream.
	BatchInterval time.Duration `yaml:"batchInterval" validate:"gt=0"`
	// LeaseTimeout is how long a shard's owner may leave probes unanswered before
	// another process claims the shard.
	LeaseTimeout time.Duration `yaml:"leaseTimeout" validate:"gt=0"`
	// CheckpointInterval is the time between two checkpoints of a stream.
	CheckpointInterval time.Duration `yaml:"checkpointInterval" validate:"gt=0"`
}

func defaultLedger() Ledger {
	return Ledger{
		Shards:             4,
		BatchInterval:      20 * time.Millisecond,
		LeaseTimeout:       3 * time.Second,
		CheckpointInterval: 10 * time.Minute,
	}
}
