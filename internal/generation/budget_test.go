package generation

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/retry"
)

// TestRestartsStayInBudget: if every start fails, restarts must not exceed a tenth
// of the callers' requests. Recovery of a partly delivered response is not limited
// by this budget.
func TestRestartsStayInBudget(t *testing.T) {
	gm := NewWithT(t)
	const requests = 1000
	po := &retry.Policy{Draw: func(int64) int64 { return 0 }}
	ha := &Handler{Retries: po, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()}
	cause := &endpoint.Error{Op: "generate", Kind: endpoint.Unreachable, Err: errors.New("refused")}
	restarts := 0
	for range requests {
		po.Arrived("filbert-pool")
		se := ha.newSession(t.Context(), nil, admission.Request{Service: "filbert-pool"}, endpoint.Generation{Body: []byte("{}")})
		for se.decide(cause) == stepRestart {
			restarts++
		}
	}
	gm.Expect(restarts).To(BeNumerically(">", 0))
	gm.Expect(restarts).To(BeNumerically("<=", requests/10))
	se := ha.newSession(t.Context(), nil, admission.Request{Service: "filbert-pool"}, endpoint.Generation{Body: []byte("{}")})
	se.offset, se.continuation = 10, true
	gm.Expect(se.decide(cause)).To(Equal(stepContinue))
}
