package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/buffer"
)

// Cause is why a connection was closed for its messages.
type Cause string

// The causes that a Server reports.
const (
	// MessageTooLarge means that a message was larger than 1 MiB, or that the types that
	// were defined were larger than 64 KiB.
	MessageTooLarge Cause = "message_too_large"
	// MessageTimeout means that a message was not complete in time.
	MessageTimeout Cause = "message_timeout"
	// MemoryFull means that there was no memory for a message.
	MemoryFull Cause = "memory_full"
)

// Causes returns all causes.
func Causes() []Cause { return []Cause{MessageTooLarge, MessageTimeout, MemoryFull} }

const (
	// maxMessageBytes limits one message, and maxDefinitionBytes all definitions of types
	// on a connection, which the decoder keeps.
	maxMessageBytes    = 1 << 20
	maxDefinitionBytes = 64 << 10
	// messageTimeout is the longest time from the first byte of a message to its last, and
	// from the opening of a connection to the end of its first message. The caller has
	// given its call up long before.
	messageTimeout = 10 * time.Second
	// freeBytes is the size up to which a message takes no memory from the budget. It is
	// in ConnBytes.
	freeBytes = 4 << 10
	// decodedFactor is how many times as large as a message its decoded value may be.
	decodedFactor = 8
	// callBytes is the memory of a call in progress beside its message.
	callBytes = 8 << 10
	// maxNumberBytes is the size of the largest encoded number.
	maxNumberBytes = 9
)

var (
	errMalformed = errors.New("peer: the message is malformed")
	errTooLarge  = errors.New("peer: the message is too large")
	errNoMemory  = errors.New("peer: there is no memory for the message")
)

// reader reads the messages of a connection for a gob decoder. A message is preceded by
// its length, and its first number is below zero if it defines a type. The decoder
// allocates what the length says, so that the memory is counted before the decoder sees it.
type reader struct {
	conn net.Conn
	in   *bufio.Reader
	// remaining is the number of bytes of the current message that have not been read.
	remaining int
	// definitions is the size of all definitions of types, in bytes.
	definitions int
	// isTimed reports whether the connection has a read deadline, hasBegun whether its
	// first message has begun.
	isTimed, hasBegun bool
	// cause is why the connection must be closed.
	cause Cause

	mu    sync.Mutex
	ended sync.Cond
	share buffer.Share
	// calls is the number of calls in progress. The last of them is not running yet while
	// its argument is read.
	calls           int64
	readingArgument bool
	// largest is the size of the largest message since there was no call in progress.
	largest int64
}

func newReader(conn net.Conn, memory *buffer.Budget) *reader {
	rd := &reader{conn: conn, in: bufio.NewReader(conn), share: buffer.Share{Budget: memory}}
	rd.ended.L = &rd.mu
	rd.startTimer()
	return rd
}

// Read implements io.Reader.
func (rd *reader) Read(into []byte) (int, error) {
	if err := rd.prepare(); err != nil {
		return 0, err
	}
	count, err := rd.in.Read(into[:min(len(into), rd.remaining)])
	rd.remaining -= count
	return count, rd.note(err)
}

// ReadByte implements io.ByteReader, without which the decoder would read ahead.
func (rd *reader) ReadByte() (byte, error) {
	if err := rd.prepare(); err != nil {
		return 0, err
	}
	by, err := rd.in.ReadByte()
	rd.remaining--
	return by, rd.note(err)
}

// prepare makes the next byte readable: it begins the next message if the current one was
// read, and bounds the time of a message that has not arrived completely.
func (rd *reader) prepare() error {
	if rd.remaining == 0 {
		return rd.begin()
	}
	if rd.in.Buffered() == 0 {
		rd.startTimer()
	}
	return nil
}

// begin waits for the next message and checks its size. It consumes nothing.
func (rd *reader) begin() error {
	if rd.hasBegun {
		rd.stopTimer()
	}
	if _, err := rd.in.Peek(1); err != nil {
		return rd.note(err)
	}
	rd.stopTimer()
	rd.hasBegun = true
	length, width, err := rd.peekNumber(0)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return rd.fail(MessageTooLarge, errTooLarge)
	}
	if err := rd.countDefinition(int(length), width); err != nil {
		return err
	}
	if !rd.admit(int64(length)) {
		return rd.fail(MemoryFull, errNoMemory)
	}
	// The time that the server took to admit the message is not the sender's.
	rd.stopTimer()
	rd.remaining = width + int(length)
	return nil
}

// countDefinition counts the message if it defines a type.
func (rd *reader) countDefinition(length, offset int) error {
	if length == 0 {
		return nil
	}
	id, _, err := rd.peekNumber(offset)
	if err != nil || id&1 == 0 {
		return err
	}
	rd.definitions += length
	if rd.definitions > maxDefinitionBytes {
		return rd.fail(MessageTooLarge, errTooLarge)
	}
	return nil
}

// peekNumber decodes the unsigned number at an offset from the next byte. A number below
// 128 is one byte; before the bytes of others stands their count, negated.
func (rd *reader) peekNumber(offset int) (value uint64, width int, err error) {
	first, err := rd.peek(offset + 1)
	if err != nil {
		return 0, 0, err
	}
	if first[offset] < 0x80 {
		return uint64(first[offset]), 1, nil
	}
	width = 1 + int(-int8(first[offset]))
	if width > maxNumberBytes {
		return 0, 0, errMalformed
	}
	data, err := rd.peek(offset + width)
	if err != nil {
		return 0, 0, err
	}
	for _, by := range data[offset+1:] {
		value = value<<8 | uint64(by)
	}
	return value, width, nil
}

// peek returns the next bytes, which belong to a message that has begun.
func (rd *reader) peek(count int) ([]byte, error) {
	if rd.in.Buffered() < count {
		rd.startTimer()
	}
	data, err := rd.in.Peek(count)
	return data, rd.note(err)
}

func (rd *reader) startTimer() {
	if rd.isTimed {
		return
	}
	rd.isTimed = true
	_ = rd.conn.SetReadDeadline(time.Now().Add(messageTimeout))
}

func (rd *reader) stopTimer() {
	if !rd.isTimed {
		return
	}
	rd.isTimed = false
	_ = rd.conn.SetReadDeadline(time.Time{})
}

// note records a timeout.
func (rd *reader) note(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rd.fail(MessageTimeout, err)
	}
	return err
}

func (rd *reader) fail(ca Cause, err error) error {
	rd.cause = ca
	return err
}

// admit takes memory for a message beside the calls in progress. If there is none, it waits
// until calls of this connection have ended. It returns false if there is none even then.
func (rd *reader) admit(length int64) bool {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.running() == 0 {
		rd.largest = 0
	}
	rd.largest = max(rd.largest, length)
	return rd.resize(rd.calls)
}

// beginCall counts a call whose header was read.
func (rd *reader) beginCall() error {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if !rd.resize(rd.calls + 1) {
		rd.cause = MemoryFull
		return errNoMemory
	}
	rd.calls++
	rd.readingArgument = true
	return nil
}

// argumentRead marks all calls in progress as running.
func (rd *reader) argumentRead() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.readingArgument = false
}

// running returns the number of calls that will end without a further message.
func (rd *reader) running() int64 {
	if rd.readingArgument {
		return rd.calls - 1
	}
	return rd.calls
}

// resize waits until there is memory for some calls. rd.mu must be locked.
func (rd *reader) resize(calls int64) bool {
	for !rd.share.Resize(rd.size(calls)) {
		if rd.running() == 0 {
			return false
		}
		before := rd.calls
		for rd.calls == before {
			rd.ended.Wait()
		}
		calls += rd.calls - before
	}
	return true
}

// size returns the memory of some calls with their messages, in bytes. One call with a
// small message takes none.
func (rd *reader) size(calls int64) int64 {
	message := decodedFactor * max(rd.largest-freeBytes, 0)
	return max(calls, 1)*message + max(calls-1, 0)*callBytes
}

// endCall counts a call whose answer was written or failed.
func (rd *reader) endCall() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.calls--
	rd.share.Resize(rd.size(rd.calls))
	rd.ended.Broadcast()
}

// free returns the memory. The connection must not be used any more.
func (rd *reader) free() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.share.Resize(0)
}

var _ io.ByteReader = (*reader)(nil)
