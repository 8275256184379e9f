package setting

// Log says what the process writes to its log.
type Log struct {
	Level string `yaml:"level" validate:"oneof=trace debug info warn error"`
}
