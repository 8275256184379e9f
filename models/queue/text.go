package queue

import "github.com/pkg/errors"

// ParseOrder returns the scheduling order with the given name.
func ParseOrder(name string) (Order, error) {
	for o := Fair; o <= Arrival; o++ {
		if o.String() == name {
			return o, nil
		}
	}
	return Fair, errors.Errorf("unknown order %q: use fair, ranked or arrival", name)
}

// MarshalText implements encoding.TextMarshaler.
func (i Order) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Order) UnmarshalText(text []byte) error {
	parsed, err := ParseOrder(string(text))
	if err == nil {
		*i = parsed
	}
	return err
}
