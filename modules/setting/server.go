package setting

import "time"

// Server is the backend server beside a sidecar.
type Server struct {
	// Name is what the pools call the server.
	Name string `yaml:"name" validate:"name"`
	Kind string `yaml:"kind" validate:"oneof=model plain"`
	URL  string `yaml:"url" validate:"endpoint"`
	// Slots is how many requests the server runs at once.
	Slots int `yaml:"slots" validate:"gt=0"`
	// QueueLength is how many requests may wait for a slot.
	QueueLength int `yaml:"queueLength" validate:"gte=0"`
	// Grace is how long a finished answer is kept for a retry, and how long an
	// interrupted request goes on.
	Grace time.Duration `yaml:"grace" validate:"gte=0"`
}
