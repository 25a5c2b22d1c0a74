// Package http1 checks that answers have the form that HTTP/1.1 allows.
//
// The HTTP library accepts more than that and returns what it made of it: status 000 becomes
// 200, and a line feed before the name of a field ends the head. An answer of another form is
// not an answer: the call is lost, as if the connection had ended. The check is of the form
// only. Unknown statuses from 100 to 599 and unknown fields pass.
//
// An answer without length and chunks ends with the connection. Duplex tells the end of a
// connection from its failure while the request is still being written.
//
// ReadHead is for clients that read answers from a buffer of their own. Conn is for clients
// whose library reads from the connection itself.
//
// # Usage
//
//	var head fasthttp.ResponseHeader
//	if err := http1.ReadHead(rd, &head); err != nil { return err } // ErrMalformed, or that of rd
//
//	client := &fasthttp.Client{ConfigureClient: http1.Configure}
//
// The form is that of RFC 9112, sections 2 to 5, and of RFC 9110, section 15.
package http1
