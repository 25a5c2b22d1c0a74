package plan

import (
	"context"
	"errors"
	"strings"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Cancel cancels a plan. It reverts only what is safe to revert: endpoints that
// were drained for a hand-over that has not happened serve again. All other
// applied changes remain and are listed in the note of the plan. Canceling a
// plan that is already canceled succeeds; for a plan that is done or refused it
// returns an error of kind Conflict.
func (se *Service) Cancel(ctx context.Context, id string) (Plan, error) {
	for range conflictAttempts {
		re, err := se.load(ctx, "cancel", id)
		if IsKind(err, Unknown) {
			return se.releaseLost(ctx, id, err)
		}
		if err != nil {
			return Plan{}, err
		}
		if re.State.Terminal() {
			return re.Plan, cancelResult(re.Plan)
		}
		note := "nothing was changed"
		if re.State == Confirmed {
			begun, err := se.fence(ctx, id)
			if err != nil {
				return re.Plan, err
			}
			if begun {
				note = remainingChanges(re.Plan)
			}
		}
		re.Plan = re.WithEnd(Canceled, note, se.Clock.Now())
		re, err = se.save(ctx, re)
		if errors.Is(err, errConcurrentWrite) {
			continue
		}
		if err != nil {
			return re.Plan, err
		}
		se.count(CountCanceled)
		if err := se.finalize(ctx, re.Plan); err != nil {
			se.Log.Warn().Err(err).Str("plan", id).Msg("plan: locks of the canceled plan were not released and its drains not reverted; an executor will retry")
		}
		return re.Plan, nil
	}
	return Plan{}, &Error{Op: "cancel", Plan: id, Kind: Unavailable, Err: errConcurrentWrite}
}

// releaseLost releases the locks of a plan that the head still names but whose
// object is missing or cannot be decoded, for example because the platform was
// restored from an old backup. The changes that the plan applied remain. It
// returns notFound if the head has no running move of the plan either.
func (se *Service) releaseLost(ctx context.Context, id string, notFound error) (Plan, error) {
	bu, _, err := se.readHead(ctx, "cancel", id)
	if err != nil {
		return Plan{}, err
	}
	if mo, found := bu.Head.Move(id); !found || mo.Done {
		return Plan{}, notFound
	}
	pl := Plan{ID: id, State: Canceled, Note: "the platform has lost the plan; what it applied stays"}
	return pl, unavailable("cancel", id, se.finalize(ctx, pl))
}

func cancelResult(pl Plan) error {
	if pl.State == Canceled {
		return nil
	}
	return &Error{Op: "cancel", Plan: pl.ID, Kind: Conflict, Err: errors.New("the plan is " + string(pl.State))}
}

// fence reports whether the first step of a confirmed plan has been applied. If
// it has not, fence marks the plan as done in the head. A write of the first
// step that is still in flight then fails its version check and has no effect.
func (se *Service) fence(ctx context.Context, id string) (begun bool, err error) {
	for range conflictAttempts {
		bu, object, err := se.readHead(ctx, "cancel", id)
		if err != nil {
			return false, err
		}
		if mo, found := bu.Head.Move(id); found {
			return !mo.Done, nil
		}
		err = se.publish(ctx, bu, object, nil, configuration.Move{Plan: id, Done: true})
		if !configuration.IsKind(err, configuration.Conflict) {
			return false, unavailable("cancel", id, err)
		}
	}
	return false, unavailable("cancel", id, errConcurrentWrite)
}

func unavailable(op, id string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Plan: id, Kind: Unavailable, Err: err}
}

// remainingChanges describes which changes of a canceled plan remain in force.
func remainingChanges(pl Plan) string {
	var remaining []string
	for ix, st := range pl.Steps {
		if st.Action != Configure || ix > pl.Current() {
			continue
		}
		for _, ch := range st.Changes {
			if !undoable(pl, ch) || ix > 0 {
				remaining = append(remaining, ch.Object())
			}
		}
	}
	if len(remaining) == 0 {
		return "drained endpoints serve as before; nothing else was changed"
	}
	return "stays as changed: " + strings.Join(remaining, ", ") + "; state another intent to change it back"
}

// undoable reports whether a change of the first step drained an endpoint that a
// later step of the plan was to move or remove.
func undoable(pl Plan, ch Change) bool {
	if ch.Kind != "endpoint" || ch.Before == nil || ch.After == nil {
		return false
	}
	for _, st := range pl.Steps[1:] {
		for _, later := range st.Changes {
			if st.Action == Configure && later.Object() == ch.Object() {
				return true
			}
		}
	}
	return false
}

// finalize releases the locks of a plan in a terminal state and reverts the
// undoable changes of a canceled one. It is idempotent.
func (se *Service) finalize(ctx context.Context, pl Plan) error {
	for range conflictAttempts {
		bu, object, err := se.readHead(ctx, "settle", pl.ID)
		if err != nil {
			return err
		}
		mo, found := bu.Head.Move(pl.ID)
		if !found || mo.Done {
			return nil
		}
		changes := undoChanges(pl, mo, bu.Configuration())
		mo.Done, mo.Objects = true, nil
		err = se.publish(ctx, bu, object, changes, mo)
		if !configuration.IsKind(err, configuration.Conflict) {
			return err
		}
	}
	return &Error{Op: "settle", Plan: pl.ID, Kind: Unavailable, Err: errConcurrentWrite}
}

func undoChanges(pl Plan, mo configuration.Move, cf *kind.Configuration) []Change {
	if pl.State != Canceled || mo.Steps != 1 || len(pl.Steps) == 0 {
		return nil
	}
	var changes []Change
	for _, ch := range pl.Steps[0].Changes {
		if !undoable(pl, ch) {
			continue
		}
		if en, found := cf.Endpoint(ch.Name); found && !en.Serving() {
			changes = append(changes, ch.Inverse())
		}
	}
	return changes
}
