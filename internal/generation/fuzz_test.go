package generation

import (
	"testing"
	"time"

	"filbertstall.example/filbertstall/internal/refusal"
)

// FuzzDecode: a body must either be refused with outcome not_run or have a model, a
// prompt and a max_tokens that is not negative.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"filbert","prompt":"p","stream":true,"max_tokens":5}`), false)
	f.Add([]byte(`{"model":"filbert","messages":[{"role":"user","content":"c"}]}`), true)
	f.Add([]byte(`{"model":"filbert","prompt":"p","max_tokens":-1}`), false)
	f.Add([]byte(`[`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		co, err := decode(body, chat)
		if err != nil {
			if outcome := refusal.From(err).Rule().Outcome; outcome != refusal.NotRun {
				t.Fatalf("body %q: refused with outcome %s, want not_run", body, outcome)
			}
			return
		}
		if co.Model == "" || co.promptText() == "" || co.MaxTokens < 0 {
			t.Fatalf("body %q: accepted without a model, without a prompt or with a negative max_tokens", body)
		}
	})
}

// FuzzOpen: Open must accept only text that Sign returns.
func FuzzOpen(f *testing.F) {
	tk := Tokens{Key: make([]byte, 32)}
	now := time.Unix(0, 0)
	good, err := tk.Sign(Token{ID: "a", Endpoint: "e", Expires: 10})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		to, err := tk.Open(text, now)
		if err != nil {
			return
		}
		again, signErr := tk.Sign(to)
		if signErr != nil || again != text {
			t.Fatalf("Open accepted %q, which is not the text of its signed token", text)
		}
	})
}
