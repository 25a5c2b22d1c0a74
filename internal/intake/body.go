package intake

import (
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
)

// ReadBody reads the body of a request of a server with StreamRequestBody, in memory of a
// budget. It returns buffer.ErrTooLarge if the body has more than limit bytes, or says so,
// buffer.ErrFull if the budget has no memory for it, or the error of the connection. The
// buffer must be freed.
func ReadBody(ctx *fasthttp.RequestCtx, bu *buffer.Budget, limit int) (*buffer.Buffer, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	if ctx.Request.Header.ContentLength() > limit {
		return nil, buffer.ErrTooLarge
	}
	bf := buffer.New(bu)
	if err := bf.Fill(stream, limit); err != nil {
		return nil, err
	}
	if err := bf.Join(); err != nil {
		bf.Free()
		return nil, err
	}
	return bf, nil
}
