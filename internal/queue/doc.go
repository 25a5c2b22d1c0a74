// Package queue implements a weighted fair queue of requests. Teams share the
// service in proportion to their weights, measured in tokens used. Requests of
// one team are ordered by deadline.
//
// A team is charged an expected number of tokens when one of its requests
// leaves the queue, and the difference to the actual number once that is
// known. The next request comes from the team with the least tokens charged in
// proportion to its weight. A team that becomes active again after an idle
// period starts no lower than the current virtual time of the queue, so that
// it accumulates no credit while it is idle.
//
// # Usage
//
//	qu := &queue.Queue[Request]{}
//	qu.Push(queue.Item[Request]{ID: id, Team: "tatra", Weight: 1, Deadline: at, Value: re})
//	it, found := qu.Head()
//	qu.Pop(200)                 // removes the head and charges its team 200 tokens
//	qu.Charge("tatra", 431-200) // the answer turned out to have 431 tokens
//
// A Queue is not safe for concurrent use.
package queue
