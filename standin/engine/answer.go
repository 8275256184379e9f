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
	tokens := make([]string, 0, answerLen(prompt, maxTokens))
	for range cap(tokens) {
		tokens = append(tokens, sampler.next())
	}
	return tokens
}

// Tokenize splits a prompt into its tokens.
func Tokenize(prompt string) []string {
	return strings.Fields(prompt)
}

// answerLen is how many tokens the answer to a prompt has.
func answerLen(prompt string, maxTokens int) int {
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
	token := word(c.state)
	if c.count > 0 {
		token = " " + token
	}
	c.add(token)
	return token
}

// add adds a token that was generated elsewhere.
func (c *sampler) add(token string) {
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

// word spells a number as a word of a few syllables.
func word(n uint64) string {
	var b strings.Builder
	for range syllables {
		b.WriteByte(consonants[n%uint64(len(consonants))])
		n /= uint64(len(consonants))
		b.WriteByte(vowels[n%uint64(len(vowels))])
		n /= uint64(len(vowels))
	}
	return b.String()
}
