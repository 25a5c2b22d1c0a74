package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Call is one request to an endpoint.
type Call struct {
	// Address is the host and port to connect to.
	Address string
	Method  string
	// Target is the path and query as they are written in the request line.
	Target string
	// Host is the value of the Host header field.
	Host string
	// ID is the value that the answer must have in the field Pool.IDHeader. Do does
	// not send it, so Headers must contain it as well. If it is empty, the answer must
	// not have the field: it would belong to an earlier call on the same connection.
	ID      string
	Headers []Header
	Body    []byte
	// HasBody means that a Content-Length is sent even if the body is empty.
	HasBody bool
	// MaxIdle is the maximum time for which a pooled connection may have been
	// idle. Zero means that a new connection is opened.
	MaxIdle time.Duration
	// Once is set if the call is made over a connection of its own, which is not kept. A
	// call without an ID whose answer must not be mistaken for another's is made so.
	Once bool
}

// needsOwnConnection reports whether the call is made over a connection of its own, which is
// not kept. An answer to HEAD has no body, even if it states a length, so that its copy before
// another answer, or another's copy before it, could not be delimited.
func (ca Call) needsOwnConnection() bool { return ca.Once || ca.Method == http.MethodHead }

// poolKey returns which idle connections the call may use. Those of calls without an ID
// are kept apart: an endpoint may repeat their answers, and nothing distinguishes them from the
// answer to a later call.
func (ca Call) poolKey() poolKey { return poolKey{address: ca.Address, hasID: ca.ID != ""} }

// head returns the request line and the header fields.
func (ca Call) head() []byte {
	size := len(ca.Method) + len(ca.Target) + len(ca.Host) + 64
	for _, he := range ca.Headers {
		size += len(he.Name) + len(he.Value) + 4
	}
	dst := make([]byte, 0, size)
	dst = append(dst, ca.Method...)
	dst = append(dst, ' ')
	dst = append(dst, ca.Target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendField(dst, "Host", ca.Host)
	for _, he := range ca.Headers {
		dst = appendField(dst, he.Name, he.Value)
	}
	if len(ca.Body) > 0 || ca.HasBody {
		dst = appendField(dst, "Content-Length", strconv.Itoa(len(ca.Body)))
	}
	return append(dst, "\r\n"...)
}

func appendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}
