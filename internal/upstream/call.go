package upstream

import (
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
	Address string
	Method  string
	// Target is the path and query as they go into the request line.
	Target string
	Host   string
	// ID is what the answer's IDHeader must say; empty accepts any answer.
	ID      string
	Headers []Header
	Body    []byte
	// HasBody tells that a length is stated although the body is empty.
	HasBody bool
	// MaxIdle is how long a kept connection may have been idle; zero asks for a
	// new connection.
	MaxIdle time.Duration
}

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
	dst = field(dst, "Host", ca.Host)
	for _, he := range ca.Headers {
		dst = field(dst, he.Name, he.Value)
	}
	if len(ca.Body) > 0 || ca.HasBody {
		dst = field(dst, "Content-Length", strconv.Itoa(len(ca.Body)))
	}
	return append(dst, "\r\n"...)
}

func field(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}
