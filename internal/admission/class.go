package admission

import (
	"math/bits"
	"strconv"

	"filbertstall.example/filbertstall/internal/length"
)

const (
	// shortAnswerTokens is the highest expected answer length of a short
	// request.
	shortAnswerTokens = 96
	// shortPromptTokens is the highest prompt length of a short request.
	shortPromptTokens = 2048
)

// lengthKey returns the key of the length curve for a request. Requests
// without a class are grouped by the order of magnitude of their prompt length
// and token limit.
func lengthKey(re Request) length.Key {
	class := re.Class
	if class == "" {
		class = "p" + strconv.Itoa(bits.Len(uint(max(re.PromptTokens, 0)))) + "m" + strconv.Itoa(bits.Len64(uint64(max(re.MaxTokens, 0))))
	}
	return length.Key{Service: re.Service, Team: re.Team, Class: class}
}

// isShort reports whether a request belongs in the lane for short requests.
func isShort(re Request, cu *length.Curve) bool {
	if re.DoneTokens > 0 || re.PromptTokens > shortPromptTokens {
		return false
	}
	bounded := re.MaxTokens > 0 && re.MaxTokens <= shortAnswerTokens
	return bounded || cu.Mean() <= shortAnswerTokens
}
