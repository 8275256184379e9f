package setting

// Policy configures the selection of servers, the minimum share of each rank under
// load, and retries.
type Policy struct {
	// Placement is the algorithm that selects a backend server.
	Placement string `yaml:"placement" validate:"oneof=random roundRobin twoChoices pureAffinity affinity"`
	// Floors are the shares of a server reserved for ranks when there is too much
	// work of higher priority.
	Floors Floors `yaml:"floors"`
	// RetryBudget is the number of retries added to the retry budget per answered
	// request.
	RetryBudget float64 `yaml:"retryBudget" validate:"gte=0,lte=1"`
	// RetryBurst is the maximum number of retries in the retry budget.
	RetryBurst int `yaml:"retryBurst" validate:"gte=0"`
}

// Floors are the minimum shares of ranks, from 0 to 1.
type Floors struct {
	Normal float64 `yaml:"normal" validate:"gte=0,lte=0.5"`
	Bulk   float64 `yaml:"bulk" validate:"gte=0,lte=0.4"`
}

func defaultPolicy() Policy {
	return Policy{
		Placement:   "affinity",
		Floors:      Floors{Normal: 0.2, Bulk: 0.05},
		RetryBudget: 0.08,
		RetryBurst:  10,
	}
}
