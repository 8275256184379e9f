package placement

import "github.com/pkg/errors"

// ParsePolicy returns the policy with the given name.
func ParsePolicy(name string) (Policy, error) {
	for p := Affinity; p <= Random; p++ {
		if p.String() == name {
			return p, nil
		}
	}
	return Affinity, errors.Errorf("unknown placement %q: use affinity, pureAffinity, twoChoices, roundRobin or random", name)
}

// MarshalText implements encoding.TextMarshaler.
func (i Policy) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Policy) UnmarshalText(text []byte) error {
	parsed, err := ParsePolicy(string(text))
	if err == nil {
		*i = parsed
	}
	return err
}
