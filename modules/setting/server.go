package setting

import "time"

// Server configures the backend server of a sidecar.
type Server struct {
	// Name is the server's name in the pools.
	Name string `yaml:"name" validate:"name"`
	Kind string `yaml:"kind" validate:"oneof=model plain"`
	URL  string `yaml:"url" validate:"endpoint"`
	// Slots is the maximum number of requests that the server runs concurrently.
	Slots int `yaml:"slots" validate:"gt=0"`
	// QueueLength is the maximum number of requests that wait for a slot.
	QueueLength int `yaml:"queueLength" validate:"gte=0"`
	// Grace is how long a finished response is retained for a retry, and how long a
	// request continues after its caller has disconnected.
	Grace time.Duration `yaml:"grace" validate:"gte=0"`
}
