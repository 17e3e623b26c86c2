package faker

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of the token at an index of an engine's answer, counted from 0. It depends on the adapter with
// its version, on the prompt and on the index, so that a checker can detect an answer that belongs to another request,
// is mixed, truncated or reordered.
func Token(model, prompt string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, index))
	return fmt.Sprintf("%d:%06x ", index, sum&0xffffff)
}

// Answer returns the text of an engine's answer from token from up to, but not including, token to.
func Answer(model, prompt string, from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(Token(model, prompt, index))
	}
	return text.String()
}

// bytesPerToken is the length of a prompt token in bytes, as is typical of English text.
const bytesPerToken = 4

// CountTokens returns the number of tokens in a prompt: one for each four bytes, rounded up.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }
