package platform_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
	"filbertstall.example/filbertstall/internal/platform"
)

// sendForm makes each call to a platform whose answers have a form, and returns their errors.
func sendForm(t *testing.T, fo answerfake.Form) map[string]error {
	t.Helper()
	store := func() *platform.HTTPStore {
		return &platform.HTTPStore{URL: "http://" + answerfake.Serve(t, func(*http.Request) string {
			return fo.Answer("Object-Version: 7\r\n", `{"revision":7,"objects":[]}`)
		})}
	}
	errs := make(map[string]error)
	_, errs["get"] = store().Get(context.Background(), "k")
	_, errs["list"] = store().List(context.Background(), "k")
	_, errs["watch"] = store().Watch(context.Background(), "k", 1)
	_, errs["update"] = store().Update(context.Background(), "k", 1, []byte("v"))
	errs["delete"] = store().Delete(context.Background(), "k", 1)
	return errs
}

// A check of the form of answers must not cost an instance what the platform says.
func TestSoundFormsOfThePlatform(t *testing.T) {
	for _, fo := range answerfake.Sound() {
		for call, err := range sendForm(t, fo) {
			if fo.Status == http.StatusOK {
				NewWithT(t).Expect(err).NotTo(HaveOccurred(), "%s, %s", call, fo.Name)
			}
		}
	}
}

// expectNoAnswer makes calls whose answers are broken: nothing is known of a write.
func expectNoAnswer(t *testing.T, forms []answerfake.Form) {
	t.Helper()
	for _, fo := range forms {
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			for call, err := range sendForm(t, fo) {
				want := platform.Unavailable
				if call == "update" || call == "delete" {
					want = platform.Unknown
				}
				var er *platform.Error
				g.Expect(errors.As(err, &er)).To(BeTrue(), call)
				g.Expect(er.Kind).To(Equal(want), call)
			}
		})
	}
}

// An answer with status 000 counted as one with status 200.
func TestBrokenStatusOfThePlatform(t *testing.T) { expectNoAnswer(t, answerfake.BrokenStatuses()) }

// An answer with a blank or a control byte in the name of a field was an answer.
func TestBrokenFieldOfThePlatform(t *testing.T) { expectNoAnswer(t, answerfake.BrokenFields()) }

// The framing of chunks in an answer of another version than HTTP/1.1 was taken for a part of
// the body.
func TestBrokenFramingOfThePlatform(t *testing.T) { expectNoAnswer(t, answerfake.BrokenFramings()) }
