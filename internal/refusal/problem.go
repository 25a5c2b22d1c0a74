package refusal

import (
	"encoding/json"
	"math"
	"strconv"
)

// ContentType is the media type of a refusal's body.
const ContentType = "application/problem+json"

// Problem is the body of a refusal, in the format of RFC 9457 with additional
// members.
type Problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Reason  Reason  `json:"reason"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail"`
	// RetryAfter is the back-off before a resend in seconds. Zero means that a
	// resend is of no use.
	RetryAfter int `json:"retry_after,omitempty"`
	// Request is the ID of the request, by which an operator can look up its
	// explanation at the operator listener of an instance.
	Request string `json:"request,omitempty"`
	// Instance is the name of the instance that refused the request.
	Instance string `json:"instance,omitempty"`
}

// Problem returns the refusal as JSON without a request ID and an instance.
func (er *Error) Problem() []byte { return er.ProblemOf("", "", er.Rule().Status) }

// ProblemOf returns the refusal as JSON with the request ID, the name of the
// instance and the status that the caller gets.
func (er *Error) ProblemOf(request, instance string, status int) []byte {
	ru := er.Rule()
	data, err := json.Marshal(Problem{
		Title: "request not answered", Status: status, Reason: er.Reason, Outcome: ru.Outcome,
		Detail: er.Detail, RetryAfter: ru.retrySeconds(), Request: request, Instance: instance,
	})
	if err != nil {
		return []byte(`{"reason":"internal","outcome":"unknown"}`)
	}
	return data
}

// RetryAfterHeader returns the value of the Retry-After header in seconds, or an
// empty string if the header must not be set.
func (ru Rule) RetryAfterHeader() string {
	if ru.RetryAfter <= 0 {
		return ""
	}
	return strconv.Itoa(ru.retrySeconds())
}

func (ru Rule) retrySeconds() int { return int(math.Ceil(ru.RetryAfter.Seconds())) }

// Parse returns the refusal that another instance wrote as a Problem. It returns false for
// anything else, and for reasons that are not in the table.
func Parse(data []byte) (*Error, bool) {
	var pr Problem
	if json.Unmarshal(data, &pr) != nil {
		return nil, false
	}
	ru, known := Table[pr.Reason]
	if !known {
		return nil, false
	}
	return &Error{Reason: pr.Reason, Detail: pr.Detail, Dispatched: ru.Outcome == NotRun && pr.Outcome != NotRun}, true
}
