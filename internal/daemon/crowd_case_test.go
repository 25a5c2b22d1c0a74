package daemon_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
)

const (
	// callerHeadBytes is a head inside the limit of 16 KiB, operatorHeadBytes one inside
	// that of 4 KiB.
	callerHeadBytes   = 15 << 10
	operatorHeadBytes = 3 << 10
	// endlessBytes is where a client that sends without end stops, if it is not cut off.
	endlessBytes = 32 << 20
	// tinyBody is the size of a body in chunks of one byte.
	tinyBody = 2 << 20
)

// crowdCase is a number of clients that each write the same to a connection.
type crowdCase struct {
	name  string
	count int
	write func(conn net.Conn) error
	// descriptors is the limit of open descriptors of the process.
	descriptors int
}

// httpCrowds returns the crowds of a listener for HTTP. Each begins its requests with a
// head whose last line is missing, and a large head has headBytes.
func httpCrowds(head string, headBytes int) []crowdCase {
	field := "X-Fill: " + strings.Repeat("a", headBytes-len(head)) + "\r\n"
	sized := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, crowdBody)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	whole := "GET /healthz HTTP/1.1\r\nHost: any\r\n\r\n"
	return []crowdCase{
		{"a field without end", 100, endless(head+"X-Fill: ", "a"), crowdDescriptors},
		{"fields without end", 100, endless(head, "X-Fill: a\r\n"), crowdDescriptors},
		{"empty lines without end", 100, endless("", "\r\n"), crowdDescriptors},
		{"a head one line short", 3500, text(head + field), crowdDescriptors},
		{"a body one byte short", 40, pieces(sized, crowdBody-1, crowdBody), crowdDescriptors},
		{"whole bodies", 40, pieces(sized, crowdBody, crowdBody), crowdDescriptors},
		{"chunks of 64 KB, a byte short", 40, pieces(chunked, crowdBody-1, 64<<10), crowdDescriptors},
		{"chunks of one byte, a byte short", 40, pieces(chunked, tinyBody-1, 1), crowdDescriptors},
		{"chunks without end", 100, pieces(chunked, endlessBytes, 64<<10), crowdDescriptors},
		{"connections that send nothing", 3500, text(""), crowdDescriptors},
		{"idle connections after a request", 3500, text(whole), crowdDescriptors},
		{"more connections than descriptors, silent", 1000, text(""), fewDescriptors},
		{"more connections than descriptors, idle after a request", 1000, text(whole), fewDescriptors},
	}
}

// peerCrowds returns the crowds of the listener for calls between instances. A message is
// preceded by its length: the negated number of its bytes, and these bytes.
func peerCrowds() []crowdCase {
	const length = "\xfc\x10\x00\x00\x00" // 256 MB
	return []crowdCase{
		{"a message without end", 40, endless(length, "\x00"), crowdDescriptors},
		{"a message of 4 MB that stops", 40, endlessUntil(length, "\x00", crowdBody), crowdDescriptors},
		{"the length of a message", 3500, text(length), crowdDescriptors},
		{"definitions of types without a value", 40, definitionsOnly, crowdDescriptors},
		{"calls whose answers are not read", 20, callsUnread, crowdDescriptors},
		{"messages of one byte without end", 100, endless("", "\x01\x00"), crowdDescriptors},
		{"connections that send nothing", 3500, text(""), crowdDescriptors},
		{"more connections than descriptors, silent", 1000, text(""), fewDescriptors},
	}
}

func text(data string) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := conn.Write([]byte(data))
		return err
	}
}

func endless(begin, repeated string) func(net.Conn) error {
	return endlessUntil(begin, repeated, endlessBytes)
}

// endlessUntil writes the begin and then the same text until size bytes are written.
func endlessUntil(begin, repeated string, size int) func(net.Conn) error {
	piece := bytes.Repeat([]byte(repeated), (64<<10)/len(repeated))
	return func(conn net.Conn) error {
		if err := text(begin)(conn); err != nil {
			return err
		}
		for written := 0; written < size; written += len(piece) {
			if _, err := conn.Write(piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// pieces writes a head and the first size bytes of a body: as it is if the head
// announces its length, otherwise as chunks of some bytes, the last of which is cut.
func pieces(head string, size, chunk int) func(net.Conn) error {
	piece := make([]byte, min(size, 64<<10))
	if strings.Contains(head, "chunked") {
		piece = []byte(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("a", chunk)))
		count := max(1, (64<<10)/len(piece))
		size = (size/chunk)*len(piece) + min(size%chunk, 1)*(len(piece)-3)
		piece = bytes.Repeat(piece, count)
	}
	return func(conn net.Conn) error {
		if err := text(head)(conn); err != nil {
			return err
		}
		for written := 0; written < size; written += len(piece) {
			if _, err := conn.Write(piece[:min(len(piece), size-written)]); err != nil {
				return err
			}
		}
		return nil
	}
}
