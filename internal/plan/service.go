package plan

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/intent"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/platform"
)

// Report is the status that an instance returns to the other instances. Started
// is the start time of the instance. Standing holds the configuration version
// that it has in force and the one that the platform last showed it.
type Report struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Started  time.Time `json:"started"`
	Standing configuration.Standing
	// InFlight is the number of requests in flight by endpoint. Endpoints without
	// any are left out.
	InFlight map[string]int `json:"in_flight,omitempty"`
}

// Answer is the result of asking a member for its report. Report is valid only
// if Err is nil.
type Answer struct {
	Member member.Member
	Report Report
	Err    error
}

// Fleet gives access to the instances of the fleet.
type Fleet interface {
	View() *member.View
	// Settled reports whether this instance has compared its view with the other
	// instances since it started.
	Settled() bool
	// Reports returns the reports of all members that are not gone, including this
	// instance.
	Reports(ctx context.Context) []Answer
	// StopMember asks an instance to shut down gracefully. A later instance of the
	// same name refuses the call, unless the start time of the member is unknown.
	StopMember(ctx context.Context, me member.Member) error
}

// Service makes, confirms and cancels plans. Set the fields before the first
// call. It is safe for concurrent use.
type Service struct {
	Store platform.Store
	State *configuration.State
	Fleet Fleet
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Scope receives the metric plan_events; nil disables it.
	Scope tally.Scope
	// NewID returns an unused plan ID. If it is nil, IDs are random.
	NewID func() string

	events metric.Events[Reason]
}

// idLength is the number of characters of a random plan ID.
const idLength = 8

func (se *Service) newID() string {
	if se.NewID != nil {
		return se.NewID()
	}
	return strings.ToLower(rand.Text()[:idLength])
}

// Make builds a plan from the text of an intent file and stores it in the
// platform. It does not change the configuration. author is the team of the
// operator, and file names the intent file in errors. The error is of kind
// Invalid if the intent is wrong. It is of kind Unavailable if this instance is
// not settled, if the configuration cannot be read or is older than the one in
// force, or if the plan cannot be stored.
func (se *Service) Make(ctx context.Context, author, file string, data []byte) (Plan, error) {
	in, err := intent.Parse(file, data)
	if err != nil {
		return Plan{}, &Error{Op: "plan", Kind: Invalid, Err: err}
	}
	bu, _, err := se.readHead(ctx, "plan", "")
	if err != nil {
		return Plan{}, err
	}
	ta, err := in.Target(bu.Configuration())
	if err != nil {
		return Plan{}, &Error{Op: "plan", Kind: Invalid, Err: err}
	}
	pl, err := build(bu, ta, se.Fleet.View())
	if err != nil {
		return Plan{}, &Error{Op: "plan", Kind: Invalid, Err: err}
	}
	pl.ID, pl.Reason, pl.Intent, pl.Author, pl.Made = se.newID(), in.Reason, string(data), author, se.Clock.Now()
	if holder := lockHolder(bu.Head, pl); holder != "" {
		pl.Note = "waits for plan " + holder + ", which holds one of its objects"
	}
	re, err := se.save(ctx, record{Plan: pl})
	if err != nil {
		return Plan{}, &Error{Op: "plan", Plan: pl.ID, Kind: Unavailable, Err: err}
	}
	se.count(CountPlanned)
	return re.Plan, nil
}

// lockHolder returns the ID of another running plan that locks an object of the
// plan, or an empty string.
func lockHolder(he configuration.Head, pl Plan) string {
	for _, object := range pl.Objects {
		if holder := he.ReservedBy(object); holder != "" && holder != pl.ID {
			return holder
		}
	}
	return ""
}

// errPlatformBehind says that the platform shows an older configuration than the
// one in force.
var errPlatformBehind = errors.New("the platform shows an older configuration than that in force; try again shortly")

// errUnsettled says that this instance has not compared its member view with the
// other instances yet, so it may not know the highest version in force.
var errUnsettled = errors.New("this instance has just started and does not know the others yet; try again shortly")

// readHead reads the configuration from the platform, with the version of the
// head's object. It fails while the platform shows an older version than the one
// in force, since a change on top of it would revert accepted changes. It also
// fails until this instance is settled, since it may not know the highest version
// in force before.
func (se *Service) readHead(ctx context.Context, op, id string) (*configuration.Bundle, int64, error) {
	if !se.Fleet.Settled() {
		se.count(RefusedUnsettled)
		return nil, 0, &Error{Op: op, Plan: id, Kind: Unavailable, Err: errUnsettled}
	}
	bu, object, err := configuration.Read(ctx, se.Store, se.State.Bundle())
	if err == nil && bu.Head.Version < se.highestVersion() {
		se.count(RefusedBehind)
		err = errPlatformBehind
	}
	if err != nil {
		return nil, 0, &Error{Op: op, Plan: id, Kind: Unavailable, Err: err}
	}
	return bu, object, nil
}

// highestVersion returns the highest configuration version that this instance
// knows to be in force on any instance.
func (se *Service) highestVersion() int64 {
	version := se.State.Version()
	for _, me := range se.Fleet.View().Members {
		version = max(version, me.Version)
	}
	return version
}

// Get reads a plan from the platform. The error is of kind Unknown if there is no
// such plan.
func (se *Service) Get(ctx context.Context, id string) (Plan, error) {
	re, err := se.load(ctx, "get", id)
	return re.Plan, err
}

// List returns all plans in the order of their IDs. It leaves out plans that
// cannot be decoded.
func (se *Service) List(ctx context.Context) ([]Plan, error) {
	li, err := se.Store.List(ctx, Prefix)
	if err != nil {
		return nil, &Error{Op: "list", Kind: Unavailable, Err: err}
	}
	list := make([]Plan, 0, len(li.Objects))
	for _, ob := range li.Objects {
		var pl Plan
		if err := json.Unmarshal(ob.Value, &pl); err == nil {
			list = append(list, pl)
		}
	}
	return list, nil
}
