package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Completion returns the whole answer to a prompt: its tokens in order, each but
// the first with a leading space. It has between half of maxTokens and
// maxTokens tokens.
func Completion(prompt string, maxTokens int) []string {
	sampler := newSampler(prompt)
	tokens := make([]string, 0, completionLength(prompt, maxTokens))
	for range cap(tokens) {
		tokens = append(tokens, sampler.next())
	}
	return tokens
}

// Tokenize splits a prompt into its tokens.
func Tokenize(prompt string) []string {
	return strings.Fields(prompt)
}

// completionLength is how many tokens the answer to a prompt has.
func completionLength(prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return max(0, maxTokens)
	}
	shortest := (maxTokens + 1) / 2
	spread := uint64(maxTokens - shortest + 1)
	return shortest + int(xxhash.Sum64String(prompt)%spread)
}

// sampler is what the next token depends on: the prompt and all tokens so far.
type sampler struct {
	state uint64
	count int
}

func newSampler(prompt string) *sampler {
	return &sampler{state: xxhash.Sum64String(prompt)}
}

// next returns the next token and adds it to what later ones depend on.
func (c *sampler) next() string {
	token := pseudoWord(c.state)
	if c.count > 0 {
		token = " " + token
	}
	c.update(token)
	return token
}

// update adds a token that was generated elsewhere.
func (c *sampler) update(token string) {
	var state [8]byte
	binary.LittleEndian.PutUint64(state[:], c.state)
	digest := xxhash.New()
	_, _ = digest.Write(state[:])
	_, _ = digest.WriteString(token)
	c.state = digest.Sum64()
	c.count++
}

const (
	consonants = "bdfgklmnprstvzjh"
	vowels     = "aeio"
	syllables  = 3
)

// pseudoWord spells a number as a pseudoWord of a few syllables.
func pseudoWord(n uint64) string {
	var b strings.Builder
	for range syllables {
		b.WriteByte(consonants[n%uint64(len(consonants))])
		n /= uint64(len(consonants))
		b.WriteByte(vowels[n%uint64(len(vowels))])
		n /= uint64(len(vowels))
	}
	return b.String()
}
