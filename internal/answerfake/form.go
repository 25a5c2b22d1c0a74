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
		{Name: "empty encoding", Status: 200, text: "HTTP/1.1 200 OK|FIELDSContent-Encoding:|Content-Length: LENGTH||BODY"},
		{Name: "unknown fields", Status: 200, text: "HTTP/1.1 200 OK|FIELDSX-Odd_1.~!#$&'*+^`%: 1|x-odd:|X:\t\xe9 2\t|Content-Length:LENGTH||BODY"},
	}
}

// BrokenStatuses returns forms whose status line the protocol does not allow.
func BrokenStatuses() []Form {
	var list []Form
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 200\tOK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK",
	} {
		list = append(list, Form{Name: line, text: line + "|FIELDSContent-Length: LENGTH||BODY"})
	}
	// A parser that skips the first head finds an answer behind it.
	for _, status := range []string{"000", "050", "101"} {
		list = append(list, Form{Name: status + " before an answer", text: "HTTP/1.1 " + status + " OK||HTTP/1.1 200 OK|FIELDSContent-Length: LENGTH||BODY"})
	}
	return list
}

// BrokenFields returns forms with a field line that the protocol does not allow, before the
// field that frames the body and behind it.
func BrokenFields() []Form {
	var list []Form
	for _, line := range brokenLines() {
		for place, text := range map[string]string{
			"before": "HTTP/1.1 200 OK|FIELDSLINE|Content-Length: LENGTH||BODY",
			"behind": "HTTP/1.1 200 OK|FIELDSTransfer-Encoding: chunked|LINE||HEX|BODY|0||",
		} {
			list = append(list, Form{Name: fmt.Sprintf("%q %s", line, place), text: strings.Replace(text, "LINE", line, 1)})
		}
	}
	return list
}

func brokenLines() []string {
	list := []string{"Content Length: 1", "Content-Length : 1", ": 1", "X-Odd", "X-Odd: \r 1", "X-Odd: 1\r", "X-Odd: 1\nX: 1", "X-Odd: \x00"}
	for _, ch := range []byte{0, '\t', '\n', '\v', '\r', 0x1b, ' ', 0x7f, '(', 0x80} {
		const name = "X-Odd"
		for _, at := range []int{0, 1, len(name)} {
			list = append(list, name[:at]+string([]byte{ch})+name[at:]+": 1")
		}
	}
	return list
}

// BrokenFramings returns forms whose body ends where the protocol cannot say.
func BrokenFramings() []Form {
	var list []Form
	for _, version := range []string{"1.0", "1.2"} {
		list = append(list,
			Form{Name: "chunks of HTTP/" + version, text: "HTTP/" + version + " 200 OK|FIELDSTransfer-Encoding: chunked||HEX|BODY|0||"},
			Form{Name: "chunks and length of HTTP/" + version, text: "HTTP/" + version + " 200 OK|FIELDSContent-Length: LENGTH|TRANSFER-ENCODING: chunked||HEX|BODY|0||"})
	}
	return list
}

// BrokenEncodings returns forms whose body is encoded, as a field says that another one follows.
func BrokenEncodings() []Form {
	return []Form{
		{Name: "empty encoding behind gzip", text: "HTTP/1.1 200 OK|FIELDSContent-Encoding: gzip|Content-Encoding:|Content-Length: LENGTH||BODY"},
		{Name: "br behind gzip", text: "HTTP/1.1 200 OK|FIELDSCONTENT-ENCODING: gzip|X: y|content-encoding: br|Content-Length: LENGTH||BODY"},
	}
}
