package endlessfake

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

// Way is one kind of answer without end.
type Way struct {
	Name string
	// Start is sent once. IDMark in it stands for the ID of the request.
	Start string
	// Piece is repeated until the caller closes.
	Piece []byte
	// Hold is the number of bytes after which the server sends nothing more and keeps the
	// connection open. Zero means that it never stops sending.
	Hold int64
}

// IDMark is replaced by the value of the request's field Request-Id.
const IDMark = "%ID%"

const (
	// pieceBytes is the usual size of a piece, in bytes.
	pieceBytes = 64 << 10
	okLine     = "HTTP/1.1 200 OK\r\n"
	fields     = "Request-Id: " + IDMark + "\r\nReplica-Signature: s." + IDMark + "\r\n"
	chunked    = okLine + fields + "Transfer-Encoding: chunked\r\n\r\n"
)

// fill returns a text repeated to about pieceBytes.
func fill(text string) []byte { return bytes.Repeat([]byte(text), pieceBytes/len(text)) }

// chunk returns a text as one chunk of pieceBytes.
func chunk(text string) []byte {
	data := fill(text)
	padding := bytes.Repeat([]byte{' '}, pieceBytes-len(data))
	return slices.Concat([]byte("10000\r\n"), data, padding, []byte("\r\n"))
}

// Ways returns all kinds of answers without end.
func Ways() []Way {
	// A head as large as callers accept, of the shortest fields, before a body.
	wide := okLine + fields + strings.Repeat("a:\r\n", 3_000) + "\r\n"
	return []Way{
		{Name: "status line", Start: "HTTP/1.1 200 ", Piece: fill("x")},
		{Name: "empty lines", Start: "", Piece: fill("\r\n")},
		{Name: "fields", Start: okLine, Piece: fill("Name: value\r\n")},
		{Name: "one field", Start: okLine + "Name: ", Piece: fill("x")},
		{Name: "interim answers", Start: "", Piece: fill("HTTP/1.1 102 Processing\r\n\r\n")},
		{Name: "body without a length", Start: okLine + fields + "\r\n", Piece: fill("x")},
		{Name: "body of a great length", Start: okLine + fields + "Content-Length: 1000000000000000\r\n\r\n", Piece: fill("x")},
		{Name: "body of 15 MB", Start: okLine + fields + "Content-Length: 15000000\r\n\r\n", Piece: fill("x")},
		{Name: "body after a head of many fields", Start: wide, Piece: fill("x")},
		{Name: "chunks", Start: chunked, Piece: chunk("x")},
		{Name: "chunks of 1 byte", Start: chunked, Piece: fill("1\r\nx\r\n")},
		{Name: "one chunk extension", Start: chunked + "1;", Piece: fill("x")},
		{Name: "chunk extensions", Start: chunked, Piece: fill("1;a=b\r\nx\r\n")},
		{Name: "trailers", Start: chunked + "0\r\n", Piece: fill("Name: value\r\n")},
		{Name: "one trailer", Start: chunked + "0\r\nName: ", Piece: fill("x")},
		{Name: "events", Start: chunked, Piece: chunk("id: 1\ndata: x\n\n")},
		{Name: "empty events", Start: chunked, Piece: chunk("\n\n")},
		{Name: "one event", Start: chunked, Piece: chunk("data: x\n")},
		{Name: "JSON list of objects", Start: chunked + "a\r\n{\"items\":[\r\n", Piece: chunk("{},")},
		{Name: "JSON list of events", Start: chunked + "b\r\n{\"events\":[\r\n", Piece: chunk("{},")},
		{Name: "JSON that is nested", Start: chunked + "a\r\n{\"items\":[\r\n", Piece: chunk("[")},
	}
}

// Unfinished returns an answer whose body of a given length is one byte short of its end.
func Unfinished(length int64) Way {
	start := okLine + fields + "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n\r\n"
	return Way{Name: "body short of its end", Start: start, Piece: fill("x"), Hold: length - 1}
}
