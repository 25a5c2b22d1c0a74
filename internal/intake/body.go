package intake

import (
	"errors"
	"os"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/writetimeout"
)

// maxUnreadBytes is the largest body of a refused request that is read and discarded to keep
// the connection.
const maxUnreadBytes = 64 << 10

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

// RefusalOfBody returns the refusal for an error of ReadBody.
func RefusalOfBody(err error) *refusal.Error {
	switch {
	case errors.Is(err, buffer.ErrTooLarge):
		return refusal.Wrap(refusal.TooLarge, "the body is too large", err)
	case errors.Is(err, buffer.ErrFull):
		return refusal.Wrap(refusal.QueueFull, "the bodies of the requests in flight take all memory that they may", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.Wrap(refusal.DeadlinePassed, "the body did not arrive in time", err)
	default:
		return refusal.Wrap(refusal.BadRequest, "the body is not readable", err)
	}
}

// Refused closes the connection of a refused request after the answer if its body was not read
// and is large, or of unknown size. The HTTP library discards a smaller one.
func Refused(ctx *fasthttp.RequestCtx) {
	size := ctx.Request.Header.ContentLength()
	if !ctx.Request.IsBodyStream() || size >= 0 && size <= maxUnreadBytes {
		Served(ctx.Conn())
		return
	}
	MarkUnread(ctx)
	ctx.Response.SetConnectionClose()
}

// MarkUnread lets the caller read the answer before it sees the end of the connection.
func MarkUnread(ctx *fasthttp.RequestCtx) {
	if co, ok := ctx.Conn().(*writetimeout.Conn); ok {
		co.MarkUnread()
	}
}
