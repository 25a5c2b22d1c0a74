package http1

import (
	"bufio"
	"errors"

	"github.com/valyala/fasthttp"
)

// maxInterimAnswers is the maximum number of interim answers before an answer. A call whose
// answer has more before it is lost.
const maxInterimAnswers = 8

var errTooManyInterim = errors.New("http1: there are interim answers only")

// ReadHead reads the head of an answer and skips the interim answers before it. The size of a
// head is limited by that of the buffer.
func ReadHead(rd *bufio.Reader, into *fasthttp.ResponseHeader) error {
	for range maxInterimAnswers + 1 {
		size, isInterim, err := checkHead(rd)
		if err != nil {
			return err
		}
		if !isInterim {
			return into.Read(rd)
		}
		if _, err := rd.Discard(size); err != nil {
			return err
		}
	}
	return errTooManyInterim
}

// checkHead checks the next head and returns its size, in bytes, and whether another one follows.
func checkHead(rd *bufio.Reader) (size int, isInterim bool, err error) {
	var he Head
	for !he.Whole() {
		data, err := rd.Peek(max(size+1, rd.Buffered()))
		if len(data) <= size {
			return size, false, err
		}
		count, err := he.Check(data[size:])
		if err != nil {
			return size, false, err
		}
		size += count
	}
	return size, he.IsInterim(), nil
}
