package setting

// Log configures the log of the process.
type Log struct {
	Level string `yaml:"level" validate:"oneof=trace debug info warn error"`
}
