package call_test

import (
	"testing"
	"testing/synctest"
	"time"

	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/refusal"
)

// afterFirstUpdate is the number of the boundary after the first write of an
// instance.
const afterFirstUpdate = 4

// settleTime is long enough for all pending writes to finish or fail.
const settleTime = 15 * time.Minute

// Scenario: an instance is paused after its entry was written. Meanwhile the
// platform is restored from a copy without the entry, and the caller's resend
// runs at another instance. The paused instance must not send the call as well.
func TestPausedInstanceDoesNotSendOnALostEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(settleTime)
		fl := newFleet(2)
		empty := fl.store.Snapshot()
		fl.instances[0].pauseAt, fl.instances[0].pauseFor = afterFirstUpdate, 5*time.Second
		first := make(chan observation)
		go func() { first <- fl.instances[0].post("a0", "k", "loan", time.Minute) }()
		time.Sleep(time.Second)
		fl.store.Restore(empty)
		resend := fl.instances[1].post("a1", "k", "loan", time.Minute)
		if resend.refused != nil {
			t.Fatalf("resend was refused: %v", resend.refused)
		}
		ob := <-first
		if ob.refused == nil || ob.refused.Reason != refusal.NoRecord {
			t.Errorf("the paused instance answered %+v", ob)
		}
		if runs := fl.endpoints.history()["k"]; len(runs) != 1 {
			t.Errorf("the call was begun %d times, want 1", len(runs))
		}
	})
}

// Scenario: the write of an entry takes effect, its response is lost, and the
// platform is unavailable until the caller is refused. The refusal says that
// the call did not run, so a resend must run once the platform is available.
func TestGivenUpBeginIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(settleTime)
		fl := newFleet(2)
		in := fl.instances[0]
		in.link.SetFault(platformfake.LoseResponses)
		time.AfterFunc(4*messageDelay, func() { in.link.SetFault(platformfake.Down) })
		ob := in.post("a0", "k", "loan", 10*time.Second)
		if ob.refused == nil || ob.refused.Rule().Outcome != refusal.NotRun {
			t.Fatalf("without a record the call got %+v", ob)
		}
		if len(fl.store.Snapshot()) == 0 {
			t.Fatal("the entry was not written, so the test does not cover its case")
		}
		in.link.SetFault(platformfake.None)
		time.Sleep(time.Second)
		if resend := fl.instances[1].post("a1", "k", "loan", time.Minute); resend.refused != nil {
			t.Errorf("resend was refused: %v", resend.refused)
		}
	})
}

// Scenario: resends arrive at another instance while the call is in flight. A
// resend whose deadline is too short is refused as in progress. One with enough
// time waits and gets the response of the first call.
func TestResendWaitsForTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(settleTime)
		fl := newFleet(2)
		fl.setMode(endpointURL(0), endpointSlow)
		fl.setMode(endpointURL(1), endpointSlow)
		first := make(chan observation)
		go func() { first <- fl.instances[0].post("a0", "k", "loan", time.Minute) }()
		time.Sleep(slowTime / 3)
		shortDeadline := fl.instances[1].post("a1", "k", "loan", slowTime/3)
		if shortDeadline.refused == nil || shortDeadline.refused.Reason != refusal.InProgress {
			t.Errorf("a resend with a short deadline got %+v", shortDeadline)
		}
		resend := fl.instances[1].post("a2", "k", "loan", time.Minute)
		if ob := <-first; ob.refused != nil || resend.answer != ob.answer || resend.status != ob.status {
			t.Errorf("first %+v, resend %+v", ob, resend)
		}
	})
}

// Scenario: the response of a call without an Idempotency-Key is lost. The call
// must not be sent again.
func TestWithoutKeyIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(settleTime)
		fl := newFleet(1)
		fl.setMode(endpointURL(0), endpointLosesResponses)
		fl.setMode(endpointURL(1), endpointLosesResponses)
		ob := fl.instances[0].post("a0", "", "loan", time.Minute)
		if ob.refused == nil || ob.refused.Rule().Outcome != refusal.Unknown {
			t.Errorf("after a lost response the call got %+v", ob)
		}
		if runs := fl.endpoints.history()[""]; len(runs) != 1 {
			t.Errorf("the call was begun %d times, want 1", len(runs))
		}
	})
}

// Scenario: an endpoint loses the response of an idempotent call. The call is
// retried at the other endpoint. If all attempts fail, the refusal says that the
// outcome is unknown, since one of them was sent.
func TestIdempotentCallIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(settleTime)
		fl := newFleet(1)
		fl.setMode(endpointURL(0), endpointLosesResponses)
		lookup := func(attempt string) observation {
			return fl.instances[0].request("GET", "/catalogue/7", attempt, "", "", time.Minute)
		}
		if ob := lookup("a0"); ob.refused != nil {
			t.Errorf("with one healthy endpoint the lookup was refused: %v", ob.refused)
		}
		if runs := fl.endpoints.history()[""]; len(runs) != 2 {
			t.Errorf("the call was tried %d times, want 2", len(runs))
		}
		fl.setMode(endpointURL(1), endpointRefusesConnections)
		if ob := lookup("a1"); ob.refused == nil || ob.refused.Rule().Outcome != refusal.Unknown {
			t.Errorf("after a lost response the lookup got %+v", ob)
		}
	})
}
