package http1

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a head that does not have the form of HTTP/1.1.
var ErrMalformed = errors.New("http1: the head of the answer is malformed")

func malformed(detail string) error { return fmt.Errorf("%w: %s", ErrMalformed, detail) }

// part is a part of a head in which the next byte is due.
type part int

const (
	// start is the first byte of the status line, or of an empty line before it. Servers
	// leave such lines behind the body of the answer before.
	start part = iota
	startEnd
	// version, code and reason are parts of the status line.
	version
	code
	reason
	reasonEnd
	// line is the first byte of a field line, or of the empty line that ends the head.
	line
	emptyEnd
	// name and value are parts of a field line.
	name
	value
	valueEnd
	whole
)

// versionPrefix is the beginning of all versions of HTTP whose answers have this form.
const versionPrefix = "HTTP/1."

const (
	minStatus = 100
	maxStatus = 599
	// minFinalStatus is the lowest status of an answer that no other one follows.
	minFinalStatus = 200
	codeDigits     = 3
)

// IsFinalStatus reports whether HTTP/1.1 has answers with a status that no other answer follows.
func IsFinalStatus(status int) bool { return minFinalStatus <= status && status <= maxStatus }

// Head checks the head of an answer while its bytes arrive. The zero value expects the first
// byte.
type Head struct {
	part part
	// offset is the number of bytes of the present part that were checked.
	offset int
	status int
	// minor is the minor version of HTTP/1, as a digit.
	minor byte
	// name is the beginning of the present field's name, in lower case.
	name [maxKnownName]byte
	// encoded is set once a field says how the body is encoded.
	encoded bool
}

// maxKnownName is the length of the longest name of a field that is looked at.
const maxKnownName = len(transferEncoding)

// The names of fields that say that a body is in chunks, and how it is encoded.
const (
	transferEncoding = "transfer-encoding"
	contentEncoding  = "content-encoding"
)

// Whole reports whether the head has been checked to its end.
func (he *Head) Whole() bool { return he.part == whole }

// IsInterim reports whether another head follows the one that was checked.
func (he *Head) IsInterim() bool { return he.Whole() && he.status < minFinalStatus }

// Check checks bytes up to the end of the head and returns their number.
func (he *Head) Check(data []byte) (int, error) {
	for ix, ch := range data {
		if he.part == whole {
			return ix, nil
		}
		if err := he.check(ch); err != nil {
			return ix, err
		}
	}
	return len(data), nil
}

func (he *Head) check(ch byte) error {
	switch he.part {
	case start:
		if ch == '\r' {
			return he.enter(startEnd)
		}
		he.part = version
		return he.checkVersion(ch)
	case startEnd:
		return he.endLine(ch, start)
	case version:
		return he.checkVersion(ch)
	case code:
		return he.checkCode(ch)
	case reason:
		return he.checkText(ch, reasonEnd)
	case reasonEnd, valueEnd:
		return he.endLine(ch, line)
	case line:
		if ch == '\r' {
			return he.enter(emptyEnd)
		}
		return he.checkName(ch)
	case emptyEnd:
		return he.endLine(ch, whole)
	case name:
		return he.checkName(ch)
	default:
		return he.checkText(ch, valueEnd)
	}
}

// enter begins a part.
func (he *Head) enter(next part) error {
	he.part, he.offset = next, 0
	return nil
}

// endLine checks the second byte of a line break.
func (he *Head) endLine(ch byte, next part) error {
	if ch != '\n' {
		return malformed("a carriage return ends no line")
	}
	return he.enter(next)
}

// checkVersion checks a byte of the version and of the space behind it.
func (he *Head) checkVersion(ch byte) error {
	const minor = len(versionPrefix)
	switch {
	case he.offset < minor && ch == versionPrefix[he.offset]:
	case he.offset == minor && isDigit(ch):
		he.minor = ch
	case he.offset == minor+1 && ch == ' ':
		return he.enter(code)
	default:
		return malformed("it begins with no version of HTTP/1")
	}
	he.offset++
	return nil
}

// checkCode checks a byte of the status code and the one behind it. Many servers leave out the
// space before an empty reason, and a client may accept several spaces before the code.
func (he *Head) checkCode(ch byte) error {
	if he.offset == 0 && ch == ' ' {
		return nil
	}
	if he.offset < codeDigits {
		if !isDigit(ch) {
			return malformed("the status is no number of three digits")
		}
		he.status = he.status*10 + int(ch-'0')
		he.offset++
		return nil
	}
	if he.status < minStatus || he.status > maxStatus {
		return malformed(fmt.Sprintf("there is no status %03d", he.status))
	}
	// No call asks for another protocol, in which what follows would be.
	const switchingProtocols = 101
	if he.status == switchingProtocols {
		return malformed("the status means that another protocol follows")
	}
	switch ch {
	case ' ':
		return he.enter(reason)
	case '\r':
		return he.enter(reasonEnd)
	default:
		return malformed("the status is no number of three digits")
	}
}

// checkName checks a byte of the name of a field and the colon behind it. A blank at the
// beginning would continue the line before; such lines are obsolete.
func (he *Head) checkName(ch byte) error {
	switch {
	case ch == ':' && he.part == name:
		if err := he.checkKnown(); err != nil {
			return err
		}
		return he.enter(value)
	case !httpguts.IsTokenRune(rune(ch)):
		return malformed(fmt.Sprintf("the name of a field has the byte %#02x", ch))
	}
	he.part = name
	if he.offset < maxKnownName {
		he.name[he.offset] = lower(ch)
	}
	he.offset++
	return nil
}

// checkKnown checks a field by its name. Chunks are of HTTP/1.1; the HTTP library takes their
// framing for the body in any other version. Of several encodings the library keeps the last,
// which may be empty, so that an encoded body would be taken for a plain one.
func (he *Head) checkKnown() error {
	switch {
	case he.isNamed(transferEncoding) && he.minor != '1':
		return malformed("chunks in a version that has none")
	case he.isNamed(contentEncoding) && he.encoded:
		return malformed("the encoding stands in several fields")
	case he.isNamed(contentEncoding):
		he.encoded = true
	}
	return nil
}

func (he *Head) isNamed(known string) bool {
	return he.offset == len(known) && string(he.name[:he.offset]) == known
}

// checkText checks a byte of the reason phrase, or of the value of a field, and of the line break
// behind it.
func (he *Head) checkText(ch byte, end part) error {
	const del = 0x7f
	switch {
	case ch == '\r':
		return he.enter(end)
	case ch < ' ' && ch != '\t', ch == del:
		return malformed(fmt.Sprintf("a reason or value has the byte %#02x", ch))
	default:
		return nil
	}
}

func lower(ch byte) byte {
	if 'A' <= ch && ch <= 'Z' {
		return ch + 'a' - 'A'
	}
	return ch
}

func isDigit(ch byte) bool { return '0' <= ch && ch <= '9' }
