package generation

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/refusal"
)

const (
	// bytesPerToken is the average token size assumed when estimating the
	// length of a prompt in tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed, so that
	// prompts with the same prefix can be recognized.
	prefixBytes = 256
	// maxTokens is the largest accepted max_tokens, and bounds the offset in a
	// Last-Event-ID.
	maxTokens = 1 << 20
)

// completion holds the fields of an OpenAI-compatible request that this package
// uses. The body is passed to the engine unchanged.
type completion struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// decode parses and validates a request body. Its errors are refusals with
// reason BadRequest.
func decode(body []byte, chat bool) (completion, error) {
	var co completion
	if err := json.Unmarshal(body, &co); err != nil {
		return co, refusal.Wrap(refusal.BadRequest, "the body is not a JSON completion request", err)
	}
	switch {
	case co.Model == "":
		return co, refusal.New(refusal.BadRequest, `"model" is missing`)
	case chat && len(co.Messages) == 0:
		return co, refusal.New(refusal.BadRequest, `"messages" is missing`)
	case !chat && co.Prompt == "":
		return co, refusal.New(refusal.BadRequest, `"prompt" is missing`)
	case co.MaxTokens < 0 || co.MaxTokens > maxTokens:
		return co, refusal.New(refusal.BadRequest, `"max_tokens" must be 0 to 1048576`)
	}
	return co, nil
}

func (co completion) promptText() string { return co.Prompt + string(co.Messages) }

func (co completion) promptTokens() int { return len(co.promptText())/bytesPerToken + 1 }

// prefixHash returns the hash of the first prefixBytes of the prompt, or zero if
// the prompt is shorter.
func (co completion) prefixHash() uint64 {
	text := co.promptText()
	if len(text) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(text[:prefixBytes])
}

func isChat(path string) bool { return strings.HasPrefix(path, "/v1/chat/") }
