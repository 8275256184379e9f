package intake

import "io"

// Parts are the bytes of a body in their order.
type Parts [][]byte

// Len returns the number of bytes.
func (p Parts) Len() int64 {
	total := 0
	for _, part := range p {
		total += len(part)
	}
	return int64(total)
}

// Join returns the bytes in one slice.
func (p Parts) Join() []byte {
	if len(p) == 1 {
		return p[0]
	}
	if len(p) == 0 {
		return nil
	}
	whole := make([]byte, 0, p.Len())
	for _, part := range p {
		whole = append(whole, part...)
	}
	return whole
}

// Read implements io.Reader. It removes what it has read.
func (p *Parts) Read(to []byte) (int, error) {
	for len(*p) > 0 && len((*p)[0]) == 0 {
		// The part is collected although the slice is still in use.
		(*p)[0] = nil
		*p = (*p)[1:]
	}
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(to, (*p)[0])
	(*p)[0] = (*p)[0][n:]
	return n, nil
}
