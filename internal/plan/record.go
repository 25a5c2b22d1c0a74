package plan

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"filbertstall.example/filbertstall/internal/platform"
)

// Prefix is the prefix of the platform keys of plans; the ID of the plan follows
// it.
const Prefix = "plans/"

// saveAttempts limits how often a write is sent if its answer is lost.
const saveAttempts = 4

// record is a plan with the version of its object in the platform, for
// conditional updates.
type record struct {
	Plan
	object int64
}

// load reads a plan from the platform. op names the operation in errors.
func (se *Service) load(ctx context.Context, op, id string) (record, error) {
	ob, err := se.Store.Get(ctx, Prefix+id)
	if platform.IsKind(err, platform.NotFound) {
		return record{}, &Error{Op: op, Plan: id, Kind: Unknown, Err: errors.New("no such plan")}
	}
	if err != nil {
		return record{}, &Error{Op: op, Plan: id, Kind: Unavailable, Err: err}
	}
	re := record{object: ob.Version}
	if err := json.Unmarshal(ob.Value, &re.Plan); err != nil {
		return record{}, &Error{Op: op, Plan: id, Kind: Unknown, Err: err}
	}
	return re, nil
}

// errConcurrentWrite says that the object of a plan was changed after it was
// read, or that every attempt to update the head met a concurrent writer.
var errConcurrentWrite = errors.New("the plan changed meanwhile")

// save writes a plan if its object has not changed since it was read, and
// returns errConcurrentWrite otherwise. If the answer is lost, it reads the
// object to find out whether the write took effect.
func (se *Service) save(ctx context.Context, re record) (record, error) {
	key := Prefix + re.ID
	data, err := json.Marshal(re.Plan)
	if err != nil {
		return re, err
	}
	for range saveAttempts {
		var version int64
		version, err = se.Store.Update(ctx, key, re.object, data)
		if err == nil {
			re.object = version
			return re, nil
		}
		if platform.IsKind(err, platform.Unavailable) || platform.IsKind(err, platform.Rejected) {
			break
		}
		ob, readErr := se.Store.Get(ctx, key)
		if readErr == nil && bytes.Equal(ob.Value, data) {
			re.object = ob.Version
			return re, nil
		}
		if readErr == nil && ob.Version != re.object || platform.IsKind(err, platform.Conflict) {
			return re, errConcurrentWrite
		}
	}
	return re, &Error{Op: "save", Plan: re.ID, Kind: Unavailable, Err: err}
}
