package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filbertstall.example/filbertstall/internal/http1"
)

// Kind classifies the failure of a request.
type Kind string

// The kinds of error that this package reports.
const (
	// Refused means that the deployment answered with a problem document.
	Refused Kind = "refused"
	// Broken means that the connection failed or timed out, or that the instance
	// that served the stream is shutting down.
	Broken Kind = "broken"
	// Crossed means that an event belongs to another generation or does not have
	// the expected offset.
	Crossed Kind = "crossed"
	// TooLarge means that the answer to a call is larger than 16 MiB. The call has
	// run; its outcome is Unknown to this client.
	TooLarge Kind = "too_large"
	// Interrupted means that the context of the caller ended.
	Interrupted Kind = "interrupted"
)

// Outcome says whether a request was executed.
type Outcome string

// The outcomes of a request without a complete response.
const (
	// NotRun means that the request was not executed.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
	// Failed means that the request was executed and failed.
	Failed Outcome = "failed"
)

// Error is the error type of this package.
type Error struct {
	// Op is "generate" or "call".
	Op   string
	Kind Kind
	// Outcome covers all attempts together.
	Outcome Outcome
	// Problem is the last problem document from the deployment, if Kind is
	// Refused.
	Problem Problem
	// Err is the cause, or nil.
	Err error
}

// Problem is the problem document with which the deployment refuses a request.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Reason is a fixed identifier of the cause, for example "queue_full".
	Reason  string  `json:"reason"`
	Outcome Outcome `json:"outcome"`
	// Detail explains the cause. It is the complete body if the body is not JSON.
	Detail string `json:"detail"`
	// RetryAfter is the time in seconds to wait before a retry. Zero means that
	// the server gave none.
	RetryAfter int `json:"retry_after"`
}

// Error implements error.
func (er *Error) Error() string {
	if er.Kind == Refused {
		return fmt.Sprintf("client: %s: %s (%s): %s", er.Op, er.Problem.Reason, er.Outcome, er.Problem.Detail)
	}
	return fmt.Sprintf("client: %s: %s (%s): %v", er.Op, er.Kind, er.Outcome, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

const (
	problemType = "application/problem+json"
	// maxAnswerBytes limits the body of a response. The text of a problem is
	// truncated to it.
	maxAnswerBytes = 16 << 20
)

// checkStatus returns an error if HTTP has no such status. The user's own HTTP client may accept it.
func checkStatus(op string, resp *http.Response) *Error {
	if http1.IsFinalStatus(resp.StatusCode) {
		return nil
	}
	return &Error{Op: op, Kind: Broken, Outcome: Unknown, Err: fmt.Errorf("there is no status %03d", resp.StatusCode)}
}

// problemError returns the error of a response that refuses the request.
func problemError(op string, resp *http.Response) *Error {
	er := &Error{Op: op, Kind: Refused, Outcome: Unknown, Problem: Problem{Status: resp.StatusCode}}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: op, Kind: Broken, Outcome: Unknown, Err: err}
	}
	er.parse(data)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		er.Problem.RetryAfter = seconds
	}
	return er
}

func (er *Error) parse(data []byte) {
	if json.Unmarshal(data, &er.Problem) != nil {
		er.Problem.Detail = string(data)
		return
	}
	if er.Problem.Outcome == NotRun || er.Problem.Outcome == Failed {
		er.Outcome = er.Problem.Outcome
	}
}

// transportError returns the error of a request without a response. The outcome
// is NotRun only if no connection was established, because only then is it
// certain that nothing was sent.
func transportError(op string, err error) *Error {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return &Error{Op: op, Kind: Broken, Outcome: NotRun, Err: err}
	}
	return &Error{Op: op, Kind: Broken, Outcome: Unknown, Err: err}
}

func (er *Error) retryAfter() time.Duration {
	return time.Duration(er.Problem.RetryAfter) * time.Second
}

// permanent reports whether a retry is useless because the request itself is
// invalid or its answer too large. The statuses 408, 409 and 429 and all from 500 on are temporary.
func (er *Error) permanent() bool {
	if er.Kind != Refused {
		return er.Kind == TooLarge
	}
	switch er.Problem.Status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusConflict:
		return false
	default:
		return er.Problem.Status < http.StatusInternalServerError
	}
}

func isProblem(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), problemType)
}
