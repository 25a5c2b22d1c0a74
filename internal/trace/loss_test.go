package trace

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// lossLogs has one request per case. The ID of a request tells its expected ending.
const lossLogs = `{"instance":"i1","event":"started","zone":"a","time":100}
{"instance":"i1","event":"placed","request":"delivered","endpoint":"e1","zone":"a","time":1000}
{"instance":"i1","event":"delivered","request":"delivered","endpoint":"e1","events":7,"time":2000}
{"instance":"i1","event":"placed","request":"paused","endpoint":"e1","zone":"a","time":1000}
{"instance":"i1","event":"stream_paused","request":"paused","endpoint":"e1","time":1500}
{"instance":"i1","event":"delivered","request":"paused","endpoint":"e1","events":7,"time":2000}
{"instance":"i1","event":"placed","request":"left","endpoint":"e1","zone":"a","time":1000}
{"instance":"i1","event":"resumed","request":"left","endpoint":"e1","target":"e2","time":1500}
{"instance":"i1","event":"endpoint_leaves","endpoint":"e2","zone":"a","time":2000}
{"instance":"i1","event":"stream_broken","request":"left","endpoint":"e2","events":5,"cause":"unexpected EOF","time":3500}
{"instance":"i1","event":"placed","request":"lost","endpoint":"e3","zone":"a","time":1000}
{"instance":"i1","event":"stream_broken","request":"lost","endpoint":"e3","cause":"unexpected EOF","time":3500}
{"instance":"i1","event":"endpoint_gone","endpoint":"e3","zone":"a","time":4000}
{"instance":"i1","event":"placed","request":"lost by a reset","endpoint":"e3","zone":"a","time":1000}
{"instance":"i1","event":"stream_broken","request":"lost by a reset","endpoint":"e3","cause":"read: connection reset by peer","time":3500}
{"instance":"i1","event":"placed","request":"cut","endpoint":"e9","zone":"b","time":1000}
{"instance":"i1","event":"stream_broken","request":"cut","endpoint":"e9","cause":"read: connection reset by peer","time":3500}
{"instance":"i1","event":"placed","request":"given up","endpoint":"e9","zone":"b","time":1000}
{"instance":"i1","event":"stream_given_up","request":"given up","endpoint":"e9","time":9500}
{"instance":"i1","event":"placed","request":"cut by a stop","endpoint":"e9","zone":"b","time":1000}
{"instance":"i1","event":"shutdown_cut","request":"cut by a stop","events":4,"time":9500}
{"instance":"i1","event":"placed","request":"refused","endpoint":"e9","zone":"b","time":1000}
{"instance":"i1","event":"refused","request":"refused","reason":"endpoint_lost","time":1500}
{"instance":"i1","event":"refused","request":"a call","reason":"timed_out","time":1500}
{"instance":"i1","event":"placed","request":"with its instance","endpoint":"e1","zone":"a","time":9000}
{"instance":"i1","event":"started","zone":"a","time":9900}
{"instance":"i1","event":"placed","request":"open","endpoint":"e1","zone":"a","time":9950}
`

func TestLosses(t *testing.T) {
	g := NewWithT(t)
	rows, err := CountEndings(strings.NewReader(lossLogs))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(Equal([]Row{
		{Ending: EndingEngineLost, Count: 2, Example: "lost"},
		{Ending: EndingCallerGone, Count: 1, Example: "given up"},
		{Ending: EndingShutdown, Count: 1, Events: 4, Example: "cut by a stop"},
		{Ending: EndingDelivered, Count: 1, Events: 7, Example: "delivered"},
		{Ending: EndingPaused, Count: 1, Events: 7, Example: "paused"},
		{Ending: EndingEngineDrained, Count: 1, Events: 5, Example: "left"},
		{Ending: EndingInstanceRestarted, Count: 1, Example: "with its instance"},
		{Ending: EndingOpen, Count: 1, Example: "open"},
		{Ending: EndingPathInterrupted, Count: 1, Example: "cut"},
		{Ending: "refused_endpoint_lost", Count: 1, Example: "refused"},
	}))
}
