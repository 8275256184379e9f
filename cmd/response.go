package cmd

import (
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// responseWriter assembles the response from all attempts and writes it to the output.
type responseWriter struct {
	out io.Writer
	// tokens are the tokens received so far. The next attempt requests those after them.
	tokens []string
	// printed are the tokens written to out since the last rewrite. They differ from the
	// received ones after a backend server has generated the response again.
	printed []string
	// rewrites counts how often the output was started again.
	rewrites int
}

// rewriteMarker separates discarded output from the response that replaces it.
const rewriteMarker = "\n\n[the answer was generated anew]\n\n"

// startAt is called when an attempt is accepted, with the position of its first token. A
// position before the end of the received tokens means that the response is generated
// again from there.
func (w *responseWriter) startAt(first int64) error {
	if first > int64(len(w.tokens)) {
		return errors.Errorf("tokens %d to %d of the response are missing", len(w.tokens), first-1)
	}
	w.tokens = w.tokens[:first]
	return nil
}

// addTokens adds consecutive tokens, skipping those that were received before.
func (w *responseWriter) addTokens(first int64, text []string) error {
	if first > int64(len(w.tokens)) {
		return errors.Errorf("tokens %d to %d of the response are missing", len(w.tokens), first-1)
	}
	if received := int64(len(w.tokens)) - first; received < int64(len(text)) {
		for _, token := range text[received:] {
			if err := w.addToken(token); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *responseWriter) addToken(token string) error {
	pos := len(w.tokens)
	w.tokens = append(w.tokens, token)
	switch {
	case pos == len(w.printed):
		w.printed = append(w.printed, token)
		return w.write(token)
	case w.printed[pos] == token:
		return nil
	default:
		return w.rewrite()
	}
}

// rewrite writes the received tokens again from the first one.
func (w *responseWriter) rewrite() error {
	w.rewrites++
	w.printed = slices.Clone(w.tokens)
	return w.write(rewriteMarker + strings.Join(w.tokens, ""))
}

// writeBody writes the body of a plain call's response.
func (w *responseWriter) writeBody(body []byte) error {
	return w.write(string(body))
}

func (w *responseWriter) write(text string) error {
	if _, err := io.WriteString(w.out, text); err != nil {
		return &outputError{cause: err}
	}
	return nil
}

// finish checks that the response has count tokens, and rewrites it if more were printed.
func (w *responseWriter) finish(count int64) error {
	if count != int64(len(w.tokens)) {
		return errors.Errorf("the response has %d tokens, but %d were received", count, len(w.tokens))
	}
	if len(w.printed) > len(w.tokens) {
		return w.rewrite()
	}
	return nil
}
