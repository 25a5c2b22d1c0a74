package peer

import "context"

// Ask returns the answer to a call that may take long, or false if ctx ends first. The
// call goes on then, because a canceled one closes a connection that others use; its
// answer is passed to late, which takes back what it gives.
func Ask[A any](ctx context.Context, call func() A, late func(A)) (answer A, answered bool) {
	if ctx.Done() == nil {
		return call(), true
	}
	answers := make(chan A, 1)
	go func() { answers <- call() }()
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		go func() { late(<-answers) }()
		return answer, false
	}
}
