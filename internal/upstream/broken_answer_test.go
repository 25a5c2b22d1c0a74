package upstream

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// exchangeForm makes a call whose answer has a form, and returns it with its body.
func exchangeForm(t *testing.T, fo answerfake.Form) (*Answer, string, error) {
	t.Helper()
	address := answerfake.Serve(t, func(re *http.Request) string {
		return fo.Answer("Id: "+re.Header.Get("Id")+"\r\n", "hello")
	})
	an, err := newPool().Do(t.Context(), Call{Address: address, Method: "GET", Target: "/x", Host: "h", ID: "1", Headers: []Header{{"Id", "1"}}})
	if err != nil {
		return nil, "", err
	}
	defer an.Close()
	body, err := an.ReadAll(100)
	return an, string(body), err
}

// A check of the form of answers must not cost a caller a sound answer.
func TestSoundFormsOfAnswers(t *testing.T) {
	for _, fo := range answerfake.Sound() {
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			an, body, err := exchangeForm(t, fo)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(an.Status).To(Equal(fo.Status))
			g.Expect(body == "hello").To(Equal(!fo.NoBody), body)
		})
	}
}

func expectLost(t *testing.T, forms []answerfake.Form) {
	t.Helper()
	for _, fo := range forms {
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			_, body, err := exchangeForm(t, fo)
			g.Expect(err).To(HaveOccurred(), "got %q", body)
			g.Expect(KindOf(err)).To(Equal(Lost), "the request may have run")
		})
	}
}

// An answer with status 000 was taken for one with status 200.
func TestBrokenStatusIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenStatuses()) }

// An answer with a blank or a control byte in the name of a field was an answer, with that line
// or with another body.
func TestBrokenFieldIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenFields()) }

// The framing of chunks in an answer of another version than HTTP/1.1 was taken for a part of
// the body.
func TestBrokenFramingIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenFramings()) }

// Of two fields that say how a body is encoded, the last one was taken for the only one, so that
// an encoded body was taken for the endpoint's own.
func TestBrokenEncodingIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenEncodings()) }
