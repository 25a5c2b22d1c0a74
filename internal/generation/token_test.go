package generation

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTokenForgery: Open must accept a token only with the key that signed it, until
// it expires, and not if any byte was changed.
func TestTokenForgery(t *testing.T) {
	tk := Tokens{Key: make([]byte, 32)}
	now := time.Unix(1_800_000_000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		to := Token{
			ID: rapid.String().Draw(rt, "id"), Endpoint: rapid.String().Draw(rt, "endpoint"), Team: rapid.String().Draw(rt, "team"),
			Continuation: rapid.Bool().Draw(rt, "continuation"), Expires: now.Unix(),
		}
		text, err := tk.Sign(to)
		if err != nil {
			rt.Fatal(err)
		}
		if got, err := tk.Open(text, now); err != nil || got != to {
			rt.Fatalf("Open returned %+v and error %v, want the signed token", got, err)
		}
		if _, err := tk.Open(text, now.Add(time.Second)); !errors.Is(err, ErrToken) {
			rt.Fatal("Open accepted an expired token")
		}
		if _, err := (Tokens{Key: []byte("another")}).Open(text, now); !errors.Is(err, ErrToken) {
			rt.Fatal("Open accepted a token signed with another key")
		}
		changed := []byte(text)
		at := rapid.IntRange(0, len(changed)-2).Draw(rt, "at") // the last digit is left out: it has unused bits
		changed[at] ^= byte(rapid.IntRange(1, 127).Draw(rt, "by"))
		if _, err := tk.Open(string(changed), now); !errors.Is(err, ErrToken) {
			rt.Fatalf("Open accepted the changed token %q", changed)
		}
	})
}
