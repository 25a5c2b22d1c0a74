package generation

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// caller requests one generation and checks each token that it receives.
type caller struct {
	dp *deployment
	// entry is the index of the instance that the caller sends requests to.
	entry int
	// body is the open stream, nil if there is none.
	body io.Reader
	// text holds what was read of the stream but is not a complete event yet.
	text bytes.Buffer
	// token and seed are those of the first token.
	token string
	seed  string
	// tokens counts the tokens received, doneEvents the [DONE] events.
	tokens     int
	doneEvents int
	// problem is the last refusal or error event, nil if the last request was
	// accepted.
	problem *refusal.Problem
	// faults lists the violations of the protocol that the caller observed.
	faults []string
}

const requestBody = `{"model":"filbert","prompt":"Explain chapter 7.","stream":true}`

func (ca *caller) recordFault(format string, args ...any) {
	ca.faults = append(ca.faults, fmt.Sprintf(format, args...))
}

// send sends a request. If a token was received, the request has a Last-Event-ID.
func (ca *caller) send(method string) { ca.sendWithin(context.Background(), method) }

// sendWithin is like send, with the given parent context of the request.
func (ca *caller) sendWithin(parent context.Context, method string) {
	ctx := &fasthttp.RequestCtx{}
	var req fasthttp.Request
	req.Header.SetMethod(method)
	ha := ca.dp.handlers[ca.entry]
	serve := ha.Create
	if method == http.MethodGet {
		req.SetRequestURI(eventsPath(ca.token))
		serve = ha.Resume
	} else {
		req.SetRequestURI("/v1/completions")
		req.SetBodyString(requestBody)
	}
	if ca.tokens > 0 {
		req.Header.Set(lastEventIDHeader, ca.token+"/"+strconv.Itoa(ca.tokens-1))
	}
	ctx.Init(&req, nil, nil)
	ex := &filter.Exchange{
		HTTP: ctx, Body: ctx.PostBody(), Context: parent, ID: strconv.Itoa(ca.dp.starts) + "x" + strconv.Itoa(ca.tokens),
		Deadline: ca.dp.clock.Now().Add(time.Minute), Configuration: ca.dp.cf, Team: kind.Team{Name: "students"},
	}
	ca.hangUp()
	starts := ca.dp.starts
	ca.problem = nil
	if err := serve(ex); err != nil {
		ca.decodeProblem(refusal.From(err).Problem())
		if ca.problem.Outcome == refusal.NotRun && ca.dp.starts != starts {
			ca.recordFault("refusal %s says not_run, but an engine started the generation", ca.problem.Reason)
		}
		return
	}
	ca.body = ctx.Response.BodyStream()
}

// decodeProblem stores a problem document.
func (ca *caller) decodeProblem(data []byte) {
	ca.problem = &refusal.Problem{}
	if err := json.Unmarshal(data, ca.problem); err != nil {
		ca.recordFault("cannot decode problem document %q: %v", data, err)
	}
}

// hangUp closes the stream, as the server does when a write to the socket fails.
func (ca *caller) hangUp() {
	if cl, open := ca.body.(io.Closer); open {
		_ = cl.Close()
	}
	ca.abandonStream()
}

// abandonStream drops the stream without closing it, as if the instance crashed.
func (ca *caller) abandonStream() {
	ca.body = nil
	ca.text.Reset()
}

// readOnce reads once from the stream and takes all complete events.
func (ca *caller) readOnce() {
	if ca.body == nil {
		return
	}
	raw := make([]byte, 700)
	count, err := ca.body.Read(raw)
	ca.text.Write(raw[:count])
	for ca.takeEvent() {
	}
	if err == nil {
		return
	}
	if errors.Is(err, io.EOF) && ca.doneEvents == 0 && ca.problem == nil {
		ca.recordFault("the stream ended with neither [DONE] nor an error event")
	}
	ca.hangUp()
}

// takeEvent takes one complete event from the text read so far. It returns false
// if there is none.
func (ca *caller) takeEvent() bool {
	text, rest, complete := strings.Cut(ca.text.String(), "\n\n")
	if !complete {
		return false
	}
	ca.text.Reset()
	ca.text.WriteString(rest)
	if data, found := strings.CutPrefix(text, "event: error\ndata: "); found {
		ca.decodeProblem([]byte(data))
		if ca.problem.Outcome == refusal.NotRun {
			ca.recordFault("the error event of a started stream says not_run")
		}
		return true
	}
	if text == "data: [DONE]" {
		ca.doneEvents++
		if ca.tokens != generationLength || ca.doneEvents != 1 {
			ca.recordFault("[DONE] received %d times, after %d tokens", ca.doneEvents, ca.tokens)
		}
		return true
	}
	ca.takeToken(text)
	return true
}

// takeToken checks that an event is the next token of the same generation.
func (ca *caller) takeToken(text string) {
	id, data, _ := strings.Cut(strings.TrimPrefix(text, "id: "), "\ndata: ")
	token, offset, _ := splitEventID(id)
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) == 0 {
		ca.recordFault("cannot decode event %q", text)
		return
	}
	seed, number, _ := strings.Cut(strings.TrimSpace(ch.Choices[0].Text), ":")
	if ca.tokens == 0 {
		ca.token, ca.seed = token, seed
	}
	if token != ca.token || seed != ca.seed || offset != strconv.Itoa(ca.tokens) || number != offset {
		ca.recordFault("got token %s:%s with id offset %s, want token %s:%d", seed, number, offset, ca.seed, ca.tokens)
	}
	ca.tokens++
}
