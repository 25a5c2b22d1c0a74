package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// maxAnswerBytes limits the answer to one call, in bytes. Beyond it, all calls on the
// connection are lost.
const maxAnswerBytes = 8 << 20

// codec is the gob codec of net/rpc for clients, with a limit for each answer: gob itself
// accepts messages of 1 GB and more.
type codec struct {
	io.Closer
	wr  *bufio.Writer
	enc *gob.Encoder
	rd  *io.LimitedReader
	dec *gob.Decoder
}

func newCodec(conn io.ReadWriteCloser) *codec {
	wr, rd := bufio.NewWriter(conn), &io.LimitedReader{R: conn}
	return &codec{Closer: conn, wr: wr, enc: gob.NewEncoder(wr), rd: rd, dec: gob.NewDecoder(rd)}
}

// WriteRequest implements rpc.ClientCodec.
func (co *codec) WriteRequest(re *rpc.Request, body any) error {
	if err := co.enc.Encode(re); err != nil {
		return err
	}
	if err := co.enc.Encode(body); err != nil {
		return err
	}
	return co.wr.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec. The limit starts anew with each answer.
func (co *codec) ReadResponseHeader(re *rpc.Response) error {
	co.rd.N = maxAnswerBytes
	return co.dec.Decode(re)
}

// ReadResponseBody implements rpc.ClientCodec.
func (co *codec) ReadResponseBody(body any) error { return co.dec.Decode(body) }
