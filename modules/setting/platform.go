package setting

import "time"

// Platform says where the platform's log and list of instances are.
type Platform struct {
	URL string `yaml:"url" validate:"endpoint"`
	// Timeout is how long one call of the platform may take.
	Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
	// ReadWait is how long a read waits for a first record.
	ReadWait time.Duration `yaml:"readWait" validate:"gt=0"`
	// ListInterval is the time between two reads of the list of instances.
	ListInterval time.Duration `yaml:"listInterval" validate:"gt=0"`
	// Retention is how long the log keeps records.
	Retention time.Duration `yaml:"retention" validate:"gt=0"`
}

func defaultPlatform() Platform {
	return Platform{
		Timeout:      2 * time.Second,
		ReadWait:     10 * time.Second,
		ListInterval: 30 * time.Second,
		Retention:    24 * time.Hour,
	}
}
