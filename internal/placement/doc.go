// Package placement chooses the endpoint for a request from what is known of
// the load at each.
//
// It is plain state without network. A Board keeps an account for each
// endpoint: the prompts that wait to be read, the generations that run, the
// tokens that they hold, and how lately the endpoint failed. Several instances
// send to the same engines, so they tell each other their accounts
// (internal/loadshare), and Tell adds them.
//
// # Usage
//
//	bo := &placement.Board{Clock: clock, Zone: "zilina-a", Seed: seed}
//	en, found := bo.Choose(view.Ready("filbert-pool"), placement.Work{Prompt: 3000, Output: 900, Engine: engine}, nil)
//	ti := bo.Begin(en, work)
//	ti.Started()      // the first event came: the prompt is read
//	ti.End(placement.Done)
package placement
