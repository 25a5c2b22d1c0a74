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

// clientCodec is the gob codec of net/rpc for clients, with a limit for each answer: gob itself
// accepts messages of 1 GB and more.
type clientCodec struct {
	io.Closer
	wr  *bufio.Writer
	enc *gob.Encoder
	rd  *io.LimitedReader
	dec *gob.Decoder
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	wr, rd := bufio.NewWriter(conn), &io.LimitedReader{R: conn}
	return &clientCodec{Closer: conn, wr: wr, enc: gob.NewEncoder(wr), rd: rd, dec: gob.NewDecoder(rd)}
}

// WriteRequest implements rpc.ClientCodec.
func (cc *clientCodec) WriteRequest(re *rpc.Request, body any) error {
	if err := cc.enc.Encode(re); err != nil {
		return err
	}
	if err := cc.enc.Encode(body); err != nil {
		return err
	}
	return cc.wr.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec. The limit starts anew with each answer.
func (cc *clientCodec) ReadResponseHeader(re *rpc.Response) error {
	cc.rd.N = maxAnswerBytes
	return cc.dec.Decode(re)
}

// ReadResponseBody implements rpc.ClientCodec.
func (cc *clientCodec) ReadResponseBody(body any) error { return cc.dec.Decode(body) }
