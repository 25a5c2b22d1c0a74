package http1

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// ReadHead reads the head of an answer. Interim answers are answers, too: their status is
// below 200, and another head follows. The size of the head is limited by that of the buffer.
func ReadHead(rd *bufio.Reader, into *fasthttp.ResponseHeader) error {
	var he Head
	for checked := 0; !he.Whole(); {
		data, err := rd.Peek(max(checked+1, rd.Buffered()))
		if len(data) <= checked {
			return err
		}
		count, err := he.Check(data[checked:])
		if err != nil {
			return err
		}
		checked += count
	}
	return into.Read(rd)
}
