// Package plan turns an intent into a sequence of steps and executes them once
// an operator has confirmed the plan.
//
// A plan is stored as one object in the platform. The head of the configuration
// is the object that names its current version. Confirming a plan writes its
// first step and a move, which is the entry of the plan in the head, by one
// conditional update. If two plans have the same base version, one of them
// succeeds and the other is refused. The move records how many steps of the plan
// have been applied, and the plan object records the state of each step. The
// instance that holds the claim on a plan executes it. Every step is idempotent,
// so an instance can be replaced at any point.
//
// # Usage
//
//	se := &plan.Service{Store: store, State: state, Fleet: fleet, Clock: clock, Log: log}
//	pl, err := se.Make(ctx, "operators", "zone.hujson", data)
//	pl, err = se.Confirm(ctx, pl.ID, "operators")
//	ex := &plan.Executor{Service: se, Self: "entry-1"}
//	go ex.Run(ctx) // a controller.Controller
package plan
