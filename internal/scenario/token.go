package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// TokenCheck verifies the tokens of one answer. The engine stand-in sends the text
// "seed:offset " for each token, so that duplicated and missing tokens and those
// of other generations are detected. The zero value is ready for use.
type TokenCheck struct {
	// Tokens is the number of tokens checked so far.
	Tokens int
	// First and Last are the texts of the first and the latest token.
	First, Last string

	seed string
}

// chunk is the part of a completion event that contains the token text.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Check verifies the JSON data of the next event. It returns an error if the event
// cannot be decoded or its token is not the expected one.
func (tc *TokenCheck) Check(data []byte) error {
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil || len(ch.Choices) == 0 {
		return fmt.Errorf("bad event %q", data)
	}
	text := strings.TrimSpace(ch.Choices[0].Text)
	seed, offset, _ := strings.Cut(text, ":")
	if tc.Tokens == 0 {
		tc.seed, tc.First = seed, text
	}
	if seed != tc.seed || offset != strconv.Itoa(tc.Tokens) {
		return fmt.Errorf("token %q where %s:%d was due", text, tc.seed, tc.Tokens)
	}
	tc.Last = text
	tc.Tokens++
	return nil
}
