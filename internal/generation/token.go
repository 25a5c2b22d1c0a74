package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"
)

// macBytes is the length of the truncated HMAC-SHA256 in a token.
const macBytes = 16

// Token holds what an instance needs to resume a generation that another
// instance started. Signed, it is the generation ID that callers see.
type Token struct {
	// ID is the generation's ID at the engine.
	ID string `json:"i"`
	// Endpoint is the name of the endpoint that ran the generation when the
	// token was signed.
	Endpoint string `json:"e"`
	Service  string `json:"s"`
	Team     string `json:"t"`
	// Continuation reports whether another engine can continue the generation
	// after tokens of this one.
	Continuation bool `json:"c,omitempty"`
	// Request is the hash of the request's path and body.
	Request string `json:"r"`
	// Expires is the Unix time in seconds after which the token is invalid.
	Expires int64 `json:"x"`
}

// Tokens signs and verifies tokens. All instances must share the key, so that
// each accepts the tokens of the others.
type Tokens struct {
	Key []byte
}

// ErrToken is returned for a token that is malformed, forged or expired. It does
// not say which.
var ErrToken = errors.New("generation: token is malformed, forged or expired")

// Sign returns the signed token as text that is safe in a URL path.
func (tk Tokens) Sign(to Token) (string, error) {
	body, err := json.Marshal(to)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.Strict().EncodeToString(append(tk.mac(body), body...)), nil
}

// Open verifies the signature and the expiry of a token and decodes it. It
// returns ErrToken if either check fails.
func (tk Tokens) Open(text string, now time.Time) (Token, error) {
	var to Token
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < macBytes {
		return to, ErrToken
	}
	if !hmac.Equal(raw[:macBytes], tk.mac(raw[macBytes:])) {
		return to, ErrToken
	}
	if err := json.Unmarshal(raw[macBytes:], &to); err != nil || now.Unix() > to.Expires {
		return to, ErrToken
	}
	return to, nil
}

func (tk Tokens) mac(body []byte) []byte {
	ha := hmac.New(sha256.New, tk.Key)
	_, _ = ha.Write(body)
	return ha.Sum(nil)[:macBytes]
}

// requestHash returns the hash that binds a token to the request it was issued
// for.
func requestHash(path string, body []byte) string {
	ha := sha256.New()
	_, _ = ha.Write([]byte(path))
	_, _ = ha.Write([]byte{0})
	_, _ = ha.Write(body)
	return base64.RawURLEncoding.Strict().EncodeToString(ha.Sum(nil)[:macBytes])
}

// splitEventID splits an event ID of the form "<token>/<offset>". It reports false
// if there is no slash.
func splitEventID(text string) (token, offset string, ok bool) {
	cut := strings.LastIndexByte(text, '/')
	if cut < 0 {
		return "", "", false
	}
	return text[:cut], text[cut+1:], true
}
