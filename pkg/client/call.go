package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// Call is a request to a plain service.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Service is the name of the service.
	Service string
	// Path is the path at the service, with a leading slash. It may have a query.
	Path        string
	ContentType string
	Body        []byte
	// Key is sent as Idempotency-Key with every attempt. If it is empty, none is
	// sent.
	Key string
	// Idempotent means that it is safe to execute the call more than once.
	Idempotent bool
}

// Answer is the response of a service, with any HTTP status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Attempts is the number of times that the call was sent.
	Attempts int
}

// Call sends a call and retries it if a retry is safe: if the attempt is known
// not to have run, or if its outcome is unknown and the call is idempotent or has
// a key. An error is an *Error.
func (cl *Client) Call(ctx context.Context, ca Call) (Answer, error) {
	cl.prepare()
	outcome := NotRun
	for attempt := 1; ; attempt++ {
		an, er := cl.send(ctx, ca)
		if er == nil {
			an.Attempts = attempt
			return an, nil
		}
		if er.Outcome != NotRun {
			outcome = er.Outcome
		}
		resend := er.Outcome == NotRun || (er.Outcome == Unknown && (ca.Key != "" || ca.Idempotent))
		er.Outcome = outcome
		if !resend || er.permanent() || attempt >= cl.MaxAttempts {
			return Answer{}, er
		}
		if err := cl.waitBeforeRetry(ctx, attempt, er.retryAfter()); err != nil {
			return Answer{}, &Error{Op: "call", Kind: Interrupted, Outcome: outcome, Err: err}
		}
	}
}

func (cl *Client) send(ctx context.Context, ca Call) (Answer, *Error) {
	req, err := http.NewRequestWithContext(ctx, ca.Method, cl.nextEntry()+"/services/"+ca.Service+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return Answer{}, transportError("call", err)
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token)
	if ca.ContentType != "" {
		req.Header.Set("Content-Type", ca.ContentType)
	}
	if ca.Key != "" {
		req.Header.Set("Idempotency-Key", ca.Key)
	}
	resp, err := cl.HTTP.Do(req)
	if err != nil {
		return Answer{}, transportError("call", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if er := checkStatus("call", resp); er != nil {
		return Answer{}, er
	}
	if isProblem(resp) {
		return Answer{}, problemError("call", resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, &Error{Op: "call", Kind: Broken, Outcome: Unknown, Err: err}
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, &Error{Op: "call", Kind: TooLarge, Outcome: Unknown}
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
