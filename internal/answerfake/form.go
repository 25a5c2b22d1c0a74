// Package answerfake is an endpoint for tests that answers in forms of HTTP/1.1: in those that
// the protocol allows, and in those that it does not.
package answerfake

import (
	"fmt"
	"strings"
)

// Form is a form of an answer.
type Form struct {
	Name string
	// Status is the status that a client gets, zero if the answer is broken.
	Status int
	// NoBody is set if the answer has no body.
	NoBody bool
	// text is the answer as it is written, with FIELDS for further field lines, BODY, LENGTH
	// and HEX for the body and its length, and the line breaks of text files.
	text string
}

// Answer returns an answer of the form. Each of the further field lines ends in a line break.
func (fo Form) Answer(fields, body string) string {
	const lineBreak = "\r\n"
	text := strings.ReplaceAll(fo.text, "|", lineBreak)
	return strings.NewReplacer("FIELDS", fields, "BODY", body, "LENGTH", fmt.Sprint(len(body)), "HEX", fmt.Sprintf("%X", len(body))).Replace(text)
}

// Sound returns forms that the protocol allows.
func Sound() []Form {
	return []Form{
		{Name: "length", Status: 200, text: "HTTP/1.1 200 OK|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "no length", Status: 200, text: "HTTP/1.1 200 OK|FIELDS|BODY"},
		{Name: "chunks", Status: 200, text: "HTTP/1.1 200 OK|FIELDSTransfer-Encoding: chunked||HEX|BODY|0||"},
		{Name: "chunks in capitals", Status: 200, text: "HTTP/1.1 200 OK|FIELDSTRANSFER-ENCODING: CHUNKED||00HEX;a=b|BODY|0|Odd: 1||"},
		{Name: "HTTP/1.0", Status: 200, text: "HTTP/1.0 200 OK|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "HTTP/1.0 without length", Status: 200, text: "HTTP/1.0 200 OK|FIELDS|BODY"},
		{Name: "no reason", Status: 200, text: "HTTP/1.1 200 |FIELDSContent-Length: LENGTH||BODY"},
		{Name: "no reason and no space", Status: 200, text: "HTTP/1.1 200|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "reason of all bytes", Status: 200, text: "HTTP/1.1 200 it's \t(\xe9) 100%: ok|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "unknown success", Status: 299, text: "HTTP/1.1 299 Odd|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "unknown failure", Status: 499, text: "HTTP/1.1 499 Odd|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "last status", Status: 599, text: "HTTP/1.1 599 Odd|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "no content", Status: 204, NoBody: true, text: "HTTP/1.1 204 No Content|FIELDS|"},
		{Name: "not modified", Status: 304, NoBody: true, text: "HTTP/1.1 304 Not Modified|FIELDSContent-Length: LENGTH||"},
		{Name: "interim answers", Status: 200, text: "HTTP/1.1 100 Continue||HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "empty line before it", Status: 200, text: "|HTTP/1.1 200 OK|FIELDSContent-Length: LENGTH||BODY"},
		{Name: "unknown fields", Status: 200, text: "HTTP/1.1 200 OK|FIELDSX-Odd_1.~!#$&'*+^`%: 1|x-odd:|X:\t\xe9 2\t|Content-Length:LENGTH||BODY"},
	}
}
