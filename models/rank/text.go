package rank

// MarshalText implements encoding.TextMarshaler.
func (i Rank) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Rank) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err == nil {
		*i = parsed
	}
	return err
}
