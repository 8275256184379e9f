package setting

// Policy says how work is placed and what each rank keeps under load.
type Policy struct {
	// Placement is the way a backend server is chosen.
	Placement string `yaml:"placement" validate:"oneof=random roundRobin twoChoices pureAffinity affinity"`
	// Floors are the shares of a server that ranks keep during a flood of more
	// urgent work.
	Floors Floors `yaml:"floors"`
	// RetryBudget is the number of retries allowed for each first try.
	RetryBudget float64 `yaml:"retryBudget" validate:"gte=0,lte=1"`
	// RetryBurst is the number of retries allowed after a quiet time.
	RetryBurst int `yaml:"retryBurst" validate:"gte=0"`
}

// Floors are shares from 0 to 1.
type Floors struct {
	Normal float64 `yaml:"normal" validate:"gte=0,lte=0.5"`
	Bulk   float64 `yaml:"bulk" validate:"gte=0,lte=0.4"`
}

func defaultPolicy() Policy {
	return Policy{
		Placement:   "affinity",
		Floors:      Floors{Normal: 0.2, Bulk: 0.05},
		RetryBudget: 0.1,
		RetryBurst:  10,
	}
}
