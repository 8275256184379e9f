package setting

import "time"

// Platform configures the access to the platform's log and list of instances.
type Platform struct {
	URL string `yaml:"url" validate:"endpoint"`
	// ListInterval is the time between two reads of the list of instances.
	ListInterval time.Duration `yaml:"listInterval" validate:"gt=0"`
	// Retention is how long the log retains records. It must be at least four
	// times the checkpoint interval.
	Retention time.Duration `yaml:"retention" validate:"gt=0"`
}

func defaultPlatform() Platform {
	return Platform{
		ListInterval: 30 * time.Second,
		Retention:    24 * time.Hour,
	}
}
