package command

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// askForm sends a request to an instance whose answers have a form, once.
func askForm(t *testing.T, fo answerfake.Form) (lost bool, err error) {
	t.Helper()
	ac := &operatorAccess{Operator: "http://" + answerfake.Serve(t, func(*http.Request) string { return fo.Answer("", `{"a": 1}`) })}
	cl, err := ac.client()
	if err != nil {
		t.Fatal(err)
	}
	var into map[string]int
	return ac.roundTrip(cl, http.MethodPost, "/plans", nil, &into)
}

// A check of the form of answers must not cost an operator what an instance says.
func TestSoundFormsOfAnInstance(t *testing.T) {
	for _, fo := range answerfake.Sound() {
		lost, err := askForm(t, fo)
		NewWithT(t).Expect(lost).To(BeFalse(), "%s: %v", fo.Name, err)
		NewWithT(t).Expect(err == nil).To(Equal(fo.Status == http.StatusOK), fo.Name)
	}
}

// expectLost sends requests whose answers are broken.
func expectLost(t *testing.T, forms []answerfake.Form) {
	t.Helper()
	for _, fo := range forms {
		t.Run(fo.Name, func(t *testing.T) {
			lost, err := askForm(t, fo)
			NewWithT(t).Expect(err).To(HaveOccurred())
			NewWithT(t).Expect(lost).To(BeTrue(), "%v", err)
		})
	}
}

// A plan whose answer had status 000 counted as made.
func TestBrokenStatusOfAnInstance(t *testing.T) { expectLost(t, answerfake.BrokenStatuses()) }

// An answer with a blank or a control byte in the name of a field was an answer.
func TestBrokenFieldOfAnInstance(t *testing.T) { expectLost(t, answerfake.BrokenFields()) }

// The framing of chunks in an answer of another version than HTTP/1.1 was taken for a part of
// the body.
func TestBrokenFramingOfAnInstance(t *testing.T) { expectLost(t, answerfake.BrokenFramings()) }
