package plan

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"filbertstall.example/filbertstall/internal/configuration"
)

// conflictAttempts limits how often an operation on the head or on a plan is
// tried when its conditional updates fail because of concurrent writers.
const conflictAttempts = 8

// Confirm applies the first step of a plan if the configuration has not changed
// since the plan was made. It is idempotent: confirming a plan again changes
// nothing and succeeds. It returns an error of kind Unknown if there is no such
// plan, one of kind Conflict if the plan is refused or canceled, and one of kind
// Unavailable if the caller can try again.
func (se *Service) Confirm(ctx context.Context, id, confirmer string) (Plan, error) {
	for range conflictAttempts {
		re, err := se.load(ctx, "confirm", id)
		if err != nil {
			return Plan{}, err
		}
		if re.State == Planned {
			re.State, re.Confirmer, re.Confirmed = Confirmed, confirmer, se.Clock.Now()
			re, err = se.save(ctx, re)
			if errors.Is(err, errConcurrentWrite) {
				continue
			}
			if err != nil {
				return re.Plan, err
			}
		}
		if re.State != Confirmed {
			return re.Plan, confirmResult(re.Plan)
		}
		err = se.start(ctx, re)
		if configuration.IsKind(err, configuration.Conflict) {
			continue
		}
		return se.finishConfirm(ctx, re, err)
	}
	return Plan{}, &Error{Op: "confirm", Plan: id, Kind: Unavailable, Err: errors.New("other writers came first; try again")}
}

// confirmResult returns the error of confirming a plan in a terminal state, nil
// for a plan that is done.
func confirmResult(pl Plan) error {
	if pl.State == Done {
		return nil
	}
	return &Error{Op: "confirm", Plan: pl.ID, Kind: Conflict, Err: errors.New(string(pl.State) + ": " + pl.Note)}
}

// finishConfirm returns the result of a confirmation whose start returned err.
// It refuses the plan if err is permanent.
func (se *Service) finishConfirm(ctx context.Context, re record, err error) (Plan, error) {
	var co *conflictError
	switch {
	case err == nil:
		se.count(CountConfirmed)
		return re.Plan, nil
	case errors.As(err, &co):
		return se.refuse(ctx, re, co)
	case IsKind(err, Unavailable):
		return re.Plan, err
	default:
		return re.Plan, &Error{Op: "confirm", Plan: re.ID, Kind: Unavailable, Err: err}
	}
}

func (se *Service) refuse(ctx context.Context, re record, co *conflictError) (Plan, error) {
	re.ChangesSinceBase = co.changes
	re.Plan = re.WithEnd(Refused, co.Error(), se.Clock.Now())
	saved, err := se.save(ctx, re)
	if err != nil && !errors.Is(err, errConcurrentWrite) {
		return re.Plan, err
	}
	se.count(CountRefused)
	return saved.Plan, &Error{Op: "confirm", Plan: re.ID, Kind: Conflict, Err: co}
}

// conflictError says that a plan can no longer be started: the configuration
// changed, the plan was canceled, or another plan locks one of its objects.
type conflictError struct {
	detail  string
	changes []Change
}

// Error implements error.
func (co *conflictError) Error() string { return co.detail }

// start writes the first step of the plan and its move into the head. It does
// nothing if the head already has the move.
func (se *Service) start(ctx context.Context, re record) error {
	bu, object, err := se.readHead(ctx, "confirm", re.ID)
	if err != nil {
		return err
	}
	if mo, begun := bu.Head.Move(re.ID); begun {
		if mo.Done {
			return &conflictError{detail: "the plan was canceled"}
		}
		return nil
	}
	if lag := se.checkPlatformLag(ctx, bu.Head.Version); lag != nil {
		return &Error{Op: "confirm", Plan: re.ID, Kind: Unavailable, Err: lag}
	}
	if !slices.Equal(bu.Head.Shards, re.Base.Shards) {
		return se.baseChanged(ctx, re, bu)
	}
	if holder := lockHolder(bu.Head, re.Plan); holder != "" {
		return &conflictError{detail: "plan " + holder + " is running and holds one of the objects"}
	}
	mo := configuration.Move{Plan: re.ID, Objects: re.Objects}
	var changes []Change
	if re.Steps[0].Action == Configure {
		changes, mo.Steps = re.Steps[0].Changes, 1
	}
	return se.publish(ctx, bu, object, changes, mo)
}

// checkPlatformLag returns errPlatformBehind if any instance that answers has a
// higher version in force than the platform shows. It asks every instance because
// the member view of an instance that has just started can miss a higher version.
func (se *Service) checkPlatformLag(ctx context.Context, version int64) error {
	for _, an := range se.Fleet.Reports(ctx) {
		if an.Err == nil && an.Report.Standing.Version > version {
			se.count(RefusedBehind)
			return errPlatformBehind
		}
	}
	return nil
}

// baseChanged returns a conflictError with the changes since the plan was made.
// The list is empty if the shards of the base version cannot be read any more.
func (se *Service) baseChanged(ctx context.Context, re record, now *configuration.Bundle) error {
	note := fmt.Sprintf("the configuration changed from version %d to %d since the plan was made; plan again", re.Base.Version, now.Head.Version)
	he := configuration.Head{Version: re.Base.Version, Shards: re.Base.Shards}
	base, err := configuration.ReadShards(ctx, se.Store, he, now)
	if err != nil {
		return &conflictError{detail: note}
	}
	return &conflictError{detail: note, changes: Diff(base.Configuration(), now.Configuration())}
}

// publish writes the next version of the configuration to the platform and puts
// it in force on this instance. The error is of kind configuration.Conflict if
// another writer has changed the head.
func (se *Service) publish(ctx context.Context, bu *configuration.Bundle, object int64, changes []Change, mo configuration.Move) error {
	cf, err := apply(bu.Configuration(), changes)
	if err != nil {
		return err
	}
	next, err := bu.Next(cf, mo)
	if err != nil {
		return err
	}
	if _, err := configuration.PublishBundle(ctx, se.Store, object, next, bu); err != nil {
		return err
	}
	se.State.Apply(next, configuration.FromPlatform)
	return nil
}
