package refusal

import "net/http"

// ImpliesNotRun reports whether callers may conclude from a status that the
// request has not run.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// PromisedStatus returns the status for callers that conclude from it whether the
// request has run. It is that of the rule, but 502 if the rule's status implies
// that the request has not run and its outcome does not guarantee that, and 408,
// which implies it, in place of 504 if its time passed before it was sent.
func (er *Error) PromisedStatus() int {
	ru := er.Rule()
	switch {
	case ru.Outcome != NotRun && ImpliesNotRun(ru.Status):
		return http.StatusBadGateway
	case ru.Outcome == NotRun && ru.Status == http.StatusGatewayTimeout:
		return http.StatusRequestTimeout
	default:
		return ru.Status
	}
}
