package faker

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of an engine's answer token, counted from 0. It depends on the adapter with its version, on
// the prompt and on the position, so that a checker can tell a foreign, mixed, cut or reordered answer.
func Token(model, prompt string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, index))
	return fmt.Sprintf("%d:%06x ", index, sum&0xffffff)
}

// Answer returns the tokens of an engine's answer from one position up to another.
func Answer(model, prompt string, from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(Token(model, prompt, index))
	}
	return text.String()
}

// bytesPerToken is the length of a prompt's token, as is usual for English text.
const bytesPerToken = 4

// CountTokens returns the tokens of a prompt as the stand-in counts them: one for each four bytes.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }
