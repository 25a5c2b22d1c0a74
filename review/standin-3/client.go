package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client read of an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer ended as its framing says.
	whole bool
	err   error
}

// send sends the bytes of a request over a new connection and reads the answer.
func send(address, request string, limit time.Duration) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), request)
}

// readAnswer reads one answer from a connection.
func readAnswer(rd *bufio.Reader, request string) answer {
	method, _, _ := strings.Cut(request, " ")
	re, err := http.ReadResponse(rd, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = re.Body.Close() }()
	var body bytes.Buffer
	_, err = io.Copy(&body, re.Body)
	an := answer{status: re.StatusCode, header: re.Header, body: body.Bytes(), err: err}
	isDelimited := re.ContentLength >= 0 || len(re.TransferEncoding) > 0
	an.whole = err == nil && isDelimited
	return an
}

// String describes the answer for a record.
func (an answer) String() string {
	if an.status == 0 {
		return fmt.Sprintf("no answer: %v", an.err)
	}
	return fmt.Sprintf("status %d, ends as complete: %v, error: %v, body %.400q", an.status, an.whole, an.err, an.body)
}
