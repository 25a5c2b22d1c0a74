package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and how it ended.
type attempt struct {
	id      string
	path    string
	gateway string
	sent    time.Time
	ended   time.Time
	status  int
	// whole is set if the answer came to its end.
	whole      bool
	body       string
	err        error
	retryAfter string
}

var lastID atomic.Int64

// call is what a client sends.
type call struct {
	path, key string
	deadline  time.Duration
	body      string
	// tokens is the Token-Usage of a generation, part a part that its prompt has beside
	// others.
	tokens, part string
}

// newChannel returns a channel, which is opened by the first request and kept open.
func newChannel() *http.Transport {
	return &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// send sends one client attempt on a channel of its own, and reads the whole answer.
func send(ctx context.Context, re *record, gw *gateway, ca call) attempt {
	ch := newChannel()
	defer ch.CloseIdleConnections()
	return sendOn(ctx, re, ch, gw, ca)
}

// sendOn sends one client attempt on a channel, and reads the whole answer.
func sendOn(ctx context.Context, re *record, ch *http.Transport, gw *gateway, ca call) attempt {
	id := fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()>>10), uint32(lastID.Add(1))*2654435761)
	at := attempt{id: id, path: ca.path, gateway: gw.name}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gw.front+ca.path, strings.NewReader(ca.body))
	if err != nil {
		at.err = err
		return at
	}
	req.Host = "desk.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(ca.deadline.Milliseconds(), 10))
	req.Header.Set("User-Agent", "")
	if ca.key != "" {
		req.Header.Set("Authorization", "Bearer "+ca.key)
	}
	if ca.tokens != "" {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", ca.tokens)
		prefix := "5c1e07a2:200,"
		if ca.part != "" {
			prefix += ca.part + ":100,"
		}
		req.Header.Set("Prompt-Prefix", prefix+id+":100")
	}
	at.sent = time.Now()
	resp, err := (&http.Client{Transport: ch}).Do(req)
	if err != nil {
		at.err, at.ended = err, time.Now()
		re.logf("client: %s to %s%s, sent at %s: no answer: %v", id, gw.name, ca.path, re.at(at.sent), err)
		return at
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	at.status, at.body, at.whole, at.err, at.ended = resp.StatusCode, body.String(), err == nil, err, time.Now()
	at.retryAfter = resp.Header.Get("Retry-After")
	pieces := strings.Count(at.body, "\n\n")
	end := "whole"
	if err != nil {
		end = "not whole: " + err.Error()
	}
	re.logf("client: %s to %s%s, sent at %s: status %d, %d bytes, %d events, %s", id, gw.name, ca.path, re.at(at.sent), at.status, len(at.body), pieces, end)
	return at
}
