package cmd

import (
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// transcript is the answer as far as it has come, over all tries.
type transcript struct {
	out io.Writer
	// tokens are held: the next try asks for those that follow.
	tokens []string
	// printed are the tokens that were written. They differ from those held once
	// a backend server generated the answer anew.
	printed []string
	// restarted counts how often the output began again.
	restarted int
}

// restartMark separates an abandoned beginning from the answer that replaces it.
const restartMark = "\n\n[the answer was generated anew]\n\n"

// accept begins a part of the answer at the position first. A position below
// the number of tokens held means that the answer was generated anew.
func (t *transcript) accept(first int64) error {
	if first > int64(len(t.tokens)) {
		return errors.Errorf("tokens %d to %d of the answer are missing", len(t.tokens), first-1)
	}
	t.tokens = t.tokens[:first]
	return nil
}

// add takes consecutive tokens, of which some may be held already.
func (t *transcript) add(first int64, text []string) error {
	if first > int64(len(t.tokens)) {
		return errors.Errorf("tokens %d to %d of the answer are missing", len(t.tokens), first-1)
	}
	if known := int64(len(t.tokens)) - first; known < int64(len(text)) {
		for _, token := range text[known:] {
			if err := t.append(token); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *transcript) append(token string) error {
	at := len(t.tokens)
	t.tokens = append(t.tokens, token)
	switch {
	case at == len(t.printed):
		t.printed = append(t.printed, token)
		return t.write(token)
	case t.printed[at] == token:
		return nil
	default:
		return t.restart()
	}
}

// restart writes what is held from its beginning.
func (t *transcript) restart() error {
	t.restarted++
	t.printed = slices.Clone(t.tokens)
	return t.write(restartMark + strings.Join(t.tokens, ""))
}

// whole takes the body of a plain call's answer.
func (t *transcript) whole(body []byte) error {
	return t.write(string(body))
}

func (t *transcript) write(text string) error {
	if _, err := io.WriteString(t.out, text); err != nil {
		return &outputError{cause: err}
	}
	return nil
}

// finish ends an answer of so many tokens.
func (t *transcript) finish(count int64) error {
	if count != int64(len(t.tokens)) {
		return errors.Errorf("the answer has %d tokens, but %d arrived", count, len(t.tokens))
	}
	if len(t.printed) > len(t.tokens) {
		return t.restart()
	}
	return nil
}
