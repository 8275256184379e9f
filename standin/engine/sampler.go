package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Completion returns the complete response to a prompt as a list of tokens, all
// but the first with a leading space. Its length is from half of maxTokens,
// rounded up, to maxTokens.
func Completion(prompt string, maxTokens int) []string {
	sampler := newSampler(prompt)
	tokens := make([]string, 0, completionLength(prompt, maxTokens))
	for range cap(tokens) {
		tokens = append(tokens, sampler.next())
	}
	return tokens
}

// Tokenize splits a prompt into tokens, which are its words.
func Tokenize(prompt string) []string {
	return strings.Fields(prompt)
}

// completionLength returns the number of tokens of the response to a prompt.
func completionLength(prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return max(0, maxTokens)
	}
	shortest := (maxTokens + 1) / 2
	spread := uint64(maxTokens - shortest + 1)
	return shortest + int(xxhash.Sum64String(prompt)%spread)
}

// sampler generates tokens as a deterministic function of the prompt and of all
// previous tokens.
type sampler struct {
	state uint64
	count int
}

func newSampler(prompt string) *sampler {
	return &sampler{state: xxhash.Sum64String(prompt)}
}

// next generates the next token and updates the state with it.
func (s *sampler) next() string {
	token := pseudoWord(s.state)
	if s.count > 0 {
		token = " " + token
	}
	s.update(token)
	return token
}

// update adds a token to the state, such as one that another engine generated.
func (s *sampler) update(token string) {
	var state [8]byte
	binary.LittleEndian.PutUint64(state[:], s.state)
	digest := xxhash.New()
	_, _ = digest.Write(state[:])
	_, _ = digest.WriteString(token)
	s.state = digest.Sum64()
	s.count++
}

const (
	consonants = "bdfgklmnprstvzjh"
	vowels     = "aeio"
	syllables  = 3
)

// pseudoWord encodes a number as a pronounceable word of three syllables.
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
