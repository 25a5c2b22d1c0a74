// Package placement chooses the endpoint for a request from what is known of
// the load at each.
//
// It is plain state without network. A Board keeps an account for each
// endpoint: the prompts that wait to be read, the generations that run, the
// tokens that they hold, and how lately the endpoint failed. Several instances
// send to the same engines, so they tell each other their accounts
// (internal/loadshare), and Tell adds them. What can't be reached in another
// zone makes the whole zone dearer for a while (border.go), and engines with
// memory to spare are chosen for standby copies (standby.go).
//
// # Usage
//
//	bo := &placement.Board{Clock: clock, Zone: "zilina-a", Instance: "edge-1"}
//	work := placement.Work{Prompt: 3000, Output: 900, Engine: engine}
//	ch, found := bo.Choose(view.Ready("filbert-pool"), work, nil)
//	ti := bo.Begin(ch.Endpoint, work)
//	ti.Started()      // the first event came: the prompt is read
//	ti.End(placement.Done)
package placement
