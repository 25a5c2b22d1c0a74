package plan

import (
	"context"
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/configuration"
)

const (
	// pollInterval is the time between two polls of the running plans in a small
	// fleet. A new configuration in force triggers a poll at once.
	pollInterval = 500 * time.Millisecond
	// pollIntervalPerMember, multiplied by the number of members, is the time
	// between two polls in a large fleet. It limits the load of a waiting step,
	// which asks every instance at each poll.
	pollIntervalPerMember = 10 * time.Millisecond
	// claimDuration is the time after which the claim on a plan expires unless its
	// owner renews it. Two instances that execute a plan at the same time do no
	// harm, since each write is conditional and each step is idempotent.
	claimDuration = 6 * time.Second
	// executorCandidates is the number of instances that are eligible to claim a
	// plan.
	executorCandidates = 3
	// zonesIdleTimeout limits how long a plan waits for the requests in a zone to
	// finish.
	zonesIdleTimeout = 10 * time.Minute
)

// Executor is the controller that executes confirmed plans. Set the fields
// before Run.
type Executor struct {
	*Service
	// Self is the name of this instance.
	Self string
	// Candidate reports whether this instance is among the first limit live
	// instances in the order of rendezvous hashing by the ID of a plan. If it is
	// nil, this instance is a candidate for every plan.
	Candidate func(id string, limit int) bool
}

// Name implements controller.Controller.
func (ex *Executor) Name() string { return "plans" }

// Run executes plans until ctx ends. It always returns nil.
func (ex *Executor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed, _ := ex.State.Changed()
		ex.advanceAll(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ex.Clock.After(max(pollInterval, time.Duration(len(ex.Fleet.View().Members))*pollIntervalPerMember)):
		}
	}
	return nil
}

// advanceAll executes the steps that need not wait, for all running plans for
// which this instance is a candidate. It logs errors, and the next poll tries
// again.
func (ex *Executor) advanceAll(ctx context.Context) {
	bu := ex.State.Bundle()
	if bu == nil {
		return
	}
	for _, mo := range bu.Head.Moves {
		if mo.Done || (ex.Candidate != nil && !ex.Candidate(mo.Plan, executorCandidates)) {
			continue
		}
		if err := ex.advance(ctx, mo.Plan); err != nil && !errors.Is(err, errConcurrentWrite) && ctx.Err() == nil {
			ex.count(RetryStep)
			ex.Log.Warn().Err(err).Str("plan", mo.Plan).Msg("plan: step failed; it will be retried at the next poll")
		}
	}
}

// advance claims a plan and executes its steps until one has to wait. It does
// nothing while another instance holds the claim.
func (ex *Executor) advance(ctx context.Context, id string) error {
	re, err := ex.load(ctx, "carry", id)
	if err != nil {
		return err
	}
	if re.State.Terminal() {
		return ex.finalize(ctx, re.Plan)
	}
	now := ex.Clock.Now()
	if re.Owner != ex.Self && now.Before(re.ClaimedUntil) {
		return nil
	}
	if re.Owner != ex.Self || re.ClaimedUntil.Sub(now) < claimDuration/2 {
		re.State, re.Owner, re.ClaimedUntil = Confirmed, ex.Self, now.Add(claimDuration)
		if re, err = ex.save(ctx, re); err != nil {
			return err
		}
	}
	for re.Current() < len(re.Steps) {
		next, err := ex.step(ctx, re)
		if err != nil || next.Current() == re.Current() {
			return err
		}
		re = next
	}
	re.Plan = re.WithEnd(Done, re.Note, ex.Clock.Now())
	if re, err = ex.save(ctx, re); err != nil {
		return err
	}
	ex.count(CountDone)
	ex.Log.Info().Str("plan", id).Msg("plan: done")
	return ex.finalize(ctx, re.Plan)
}

// step executes the current step and saves the plan if the state or the note of
// the step has changed.
func (ex *Executor) step(ctx context.Context, re record) (record, error) {
	ix := re.Current()
	st := re.Steps[ix]
	if st.State == StepPending {
		st.State, st.Started = StepRunning, ex.Clock.Now()
	}
	done, err := ex.execute(ctx, re, ix, &st)
	if err != nil {
		return re, err
	}
	if done {
		st.State, st.Finished = StepDone, ex.Clock.Now()
	}
	previous := re.Steps[ix]
	if st.State == previous.State && st.Note == previous.Note {
		return re, nil
	}
	re.Plan = re.WithStep(ix, st)
	return ex.save(ctx, re)
}

func (ex *Executor) execute(ctx context.Context, re record, ix int, st *Step) (bool, error) {
	switch st.Action {
	case Configure:
		return true, ex.configure(ctx, re, ix, st)
	case AwaitInForce:
		st.Version = re.Steps[ix-1].Version
		return ex.awaitInForce(ctx, st), nil
	case AwaitEndpointsIdle:
		return ex.awaitEndpointsIdle(ctx, re, ix, st), nil
	case AwaitZonesIdle:
		return ex.awaitZonesIdle(ctx, re, ix, st), nil
	case StopInstance:
		return ex.stopInstance(ctx, st), nil
	default:
		return ex.awaitReplacement(st, re.Steps[ix-1]), nil
	}
}

// configure publishes the changes of a step unless the head shows that they have
// been applied.
func (ex *Executor) configure(ctx context.Context, re record, ix int, st *Step) error {
	for range conflictAttempts {
		bu, object, err := ex.readHead(ctx, "configure", re.ID)
		if err != nil {
			return err
		}
		st.Version = bu.Head.Version
		mo, found := bu.Head.Move(re.ID)
		if !found || mo.Done {
			return &Error{Op: "configure", Plan: re.ID, Kind: Conflict, Err: errors.New("the head does not have the plan running")}
		}
		if mo.Steps > ix {
			return nil
		}
		mo.Steps = ix + 1
		err = ex.publish(ctx, bu, object, st.Changes, mo)
		if configuration.IsKind(err, configuration.Conflict) {
			ex.count(RetryMoved)
			continue
		}
		st.Version = bu.Head.Version + 1
		return err
	}
	return errConcurrentWrite
}
