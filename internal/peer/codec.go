package peer

import (
	"bufio"
	"encoding/gob"
	"net/rpc"
	"time"

	"filbertstall.example/filbertstall/internal/intake"
)

// answerTimeout is the longest time that writing one answer may take. The caller has
// given its call up long before.
const answerTimeout = 10 * time.Second

// codec is the rpc.ServerCodec of a connection. In contrast to that of net/rpc, it
// reads no further call while those in progress take all memory that they may.
type codec struct {
	in  *reader
	dec *gob.Decoder
	out *bufio.Writer
	enc *gob.Encoder
}

func newCodec(rd *reader) *codec {
	out := bufio.NewWriter(rd.conn)
	return &codec{in: rd, dec: gob.NewDecoder(rd), out: out, enc: gob.NewEncoder(out)}
}

// ReadRequestHeader implements rpc.ServerCodec. net/rpc writes exactly one answer for
// each header that is read.
func (co *codec) ReadRequestHeader(re *rpc.Request) error {
	if err := co.dec.Decode(re); err != nil {
		return err
	}
	return co.in.beginCall()
}

// ReadRequestBody implements rpc.ServerCodec.
func (co *codec) ReadRequestBody(args any) error {
	err := co.dec.Decode(args)
	co.in.argumentRead()
	if err == nil {
		intake.Served(co.in.conn)
	}
	return err
}

// WriteResponse implements rpc.ServerCodec. It closes the connection if it fails.
func (co *codec) WriteResponse(re *rpc.Response, reply any) error {
	defer co.in.endCall()
	err := co.write(re, reply)
	if err != nil {
		_ = co.Close()
	}
	return err
}

func (co *codec) write(re *rpc.Response, reply any) error {
	if err := co.in.conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if err := co.enc.Encode(re); err != nil {
		return err
	}
	if err := co.enc.Encode(reply); err != nil {
		return err
	}
	return co.out.Flush()
}

// Close implements rpc.ServerCodec.
func (co *codec) Close() error { return co.in.conn.Close() }
