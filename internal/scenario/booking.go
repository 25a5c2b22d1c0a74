package scenario

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/pkg/client"
)

const (
	// bookingPairs is the number of bookings that are sent twice.
	bookingPairs = 40
	// answerLossDuration is how long each stand-in loses its answers.
	answerLossDuration = 3 * time.Second
)

var bookingScenario = Scenario{
	Name:  "booking",
	About: "Each booking is sent to two entry instances at the same time.",
	run:   runBooking,
}

// runBooking sends each booking twice with the same idempotency key, concurrently,
// and compares the answers.
func runBooking(st *state) error {
	different := 0
	for number := range bookingPairs {
		key, body := fmt.Sprintf("pair-%d", number), fmt.Sprintf(`{"pair":%d}`, number)
		answers := make([]client.Answer, 2)
		var both sync.WaitGroup
		for ix := range answers {
			both.Go(func() { answers[ix] = st.tr.book(st.ctx, key, body) })
		}
		both.Wait()
		if len(answers[0].Body) > 0 && len(answers[1].Body) > 0 && !bytes.Equal(answers[0].Body, answers[1].Body) {
			different++
		}
	}
	st.re.requireZero("bookings with two different answers", different)
	return nil
}

var answerScenario = Scenario{
	Name:  "answers",
	About: "The platform and then the rental desk lose their answers after the work is done.",
	run: func(st *state) error {
		st.wait(settleTime)
		for _, url := range []string{st.fl.Report.Platform.URL, st.endpoint("rental-desk-1").URL} {
			if err := fleet.SetFault(st.ctx, url, "lose_answer", answerLossDuration.String()); err != nil {
				return err
			}
			st.wait(answerLossDuration + time.Second)
		}
		return nil
	},
}
