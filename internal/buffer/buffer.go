package buffer

import (
	"errors"
	"io"
)

const (
	// firstChunkBytes is the size of the first chunk of a buffer. It is not taken from
	// the budget, so that small bodies never fail for want of memory.
	firstChunkBytes = 1 << 10
	// maxChunkBytes is the largest size of a chunk. Up to it, a chunk is as large as all
	// before it.
	maxChunkBytes = 64 << 10
)

var (
	// ErrFull is returned if the budget has no more memory for a body.
	ErrFull = errors.New("buffer: the bodies that are being buffered are too large together")
	// ErrTooLarge is returned if a body is larger than its own limit.
	ErrTooLarge = errors.New("buffer: the body is too large")
)

// Buffer holds the bytes of one body. It must be freed with Free, or by closing its
// Reader. Only one goroutine may use it. A nil Buffer is empty.
type Buffer struct {
	share  Share
	chunks [][]byte
	// capacity is the size of all chunks, size the number of bytes in them.
	capacity, size int
}

// New returns an empty buffer whose memory is taken from a budget.
func New(bu *Budget) *Buffer { return &Buffer{share: Share{Budget: bu}} }

// Fill reads a body to its end. It returns ErrFull, ErrTooLarge if the body has more
// than limit bytes, or the error of the reader. The buffer is freed if it fails.
func (bf *Buffer) Fill(rd io.Reader, limit int) error {
	for {
		space, err := bf.space()
		if err == nil {
			var count int
			count, err = rd.Read(space)
			bf.advance(count)
		}
		switch {
		case err == nil && bf.size <= limit:
			continue
		case errors.Is(err, io.EOF) && bf.size <= limit:
			return nil
		case err == nil || errors.Is(err, io.EOF):
			err = ErrTooLarge
		}
		bf.Free()
		return err
	}
}

// space returns the free part of the last chunk, or a new chunk if there is none.
func (bf *Buffer) space() ([]byte, error) {
	if bf.size == bf.capacity {
		size := firstChunkBytes
		if bf.capacity > 0 {
			size = min(bf.capacity, maxChunkBytes)
			if !bf.share.Resize(int64(bf.capacity + size - firstChunkBytes)) {
				return nil, ErrFull
			}
		}
		bf.chunks = append(bf.chunks, make([]byte, 0, size))
		bf.capacity += size
	}
	last := bf.chunks[len(bf.chunks)-1]
	return last[len(last):cap(last)], nil
}

// advance marks the first bytes of the free part of the last chunk as used.
func (bf *Buffer) advance(count int) {
	if count == 0 {
		return
	}
	last := len(bf.chunks) - 1
	bf.chunks[last] = bf.chunks[last][:len(bf.chunks[last])+count]
	bf.size += count
}

// Len returns the number of bytes of the body.
func (bf *Buffer) Len() int {
	if bf == nil {
		return 0
	}
	return bf.size
}

// Small returns the whole body if it is in one chunk.
func (bf *Buffer) Small() ([]byte, bool) {
	switch {
	case bf.Len() == 0:
		return nil, true
	case len(bf.chunks) == 1:
		return bf.chunks[0], true
	default:
		return nil, false
	}
}

// Join puts the whole body into one chunk. It returns ErrFull, and changes nothing, if the
// budget has no memory for the copy.
func (bf *Buffer) Join() error {
	if len(bf.chunks) < 2 {
		return nil
	}
	if !bf.share.grow(int64(bf.size)) {
		return ErrFull
	}
	whole := make([]byte, 0, bf.size)
	for _, chunk := range bf.chunks {
		whole = append(whole, chunk...)
	}
	bf.chunks, bf.capacity = [][]byte{whole}, bf.size
	bf.share.Resize(int64(bf.size))
	return nil
}

// Joined returns the body of a joined buffer. It is valid until the buffer is freed.
func (bf *Buffer) Joined() []byte {
	data, _ := bf.Small()
	return data
}

// Bytes returns a copy of the body.
func (bf *Buffer) Bytes() []byte {
	data := make([]byte, 0, bf.Len())
	if bf == nil {
		return data
	}
	for _, chunk := range bf.chunks {
		data = append(data, chunk...)
	}
	return data
}

// Free gives the memory back. The buffer is empty afterwards.
func (bf *Buffer) Free() {
	if bf == nil {
		return
	}
	bf.share.Resize(0)
	bf.chunks, bf.capacity, bf.size = nil, 0, 0
}

// Reader returns a reader of the body, which frees the buffer when it is closed.
func (bf *Buffer) Reader() io.ReadCloser { return &reader{bf: bf} }

// reader reads the chunks of a buffer.
type reader struct {
	bf *Buffer
	// chunk is the number of chunks that were read, offset that of bytes of the next.
	chunk, offset int
}

// Read implements io.Reader.
func (rd *reader) Read(into []byte) (int, error) {
	for rd.bf != nil && rd.chunk < len(rd.bf.chunks) {
		if count := copy(into, rd.bf.chunks[rd.chunk][rd.offset:]); count > 0 {
			rd.offset += count
			return count, nil
		}
		rd.chunk++
		rd.offset = 0
	}
	return 0, io.EOF
}

// Close implements io.Closer.
func (rd *reader) Close() error {
	rd.bf.Free()
	return nil
}
