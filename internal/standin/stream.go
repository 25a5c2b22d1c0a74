package standin

import (
	"bufio"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// streamPoll is the maximum time between two checks of the fault mode by a stream.
// A stream without new tokens sends a comment at this interval.
const streamPoll = 100 * time.Millisecond

// stream sends the tokens of a generation as server-sent events, from offset on,
// until the generation is complete or canceled or the reader disconnects.
func (en *Engine) stream(ctx *fasthttp.RequestCtx, ge *generation, offset int64) {
	begun := time.Now()
	en.addReaders(ge, 1)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(wr *bufio.Writer) {
		defer en.addReaders(ge, -1)
		at := offset
		for {
			for en.silenced(begun) {
				time.Sleep(streamPoll)
			}
			if en.currentFault().Mode == ModeSlow {
				time.Sleep(slowDelay)
			}
			done, complete, canceled, nextToken := en.progress(ge)
			if canceled {
				return
			}
			for ; at < done; at++ {
				writeToken(wr, ge, at)
			}
			if complete {
				_, _ = wr.WriteString("data: [DONE]\n\n")
				_ = wr.Flush()
				return
			}
			if wr.Flush() != nil {
				return
			}
			select {
			case <-nextToken:
			case <-time.After(streamPoll):
				_, _ = wr.WriteString(": waiting\n\n")
			}
		}
	})
}

func (en *Engine) addReaders(ge *generation, change int) {
	en.stateMu.Lock()
	defer en.stateMu.Unlock()
	ge.readers += change
	ge.readersChangedAt = time.Now()
}

// progress returns the number of generated tokens, whether the generation is
// complete or canceled, and a channel that is closed at the next token.
func (en *Engine) progress(ge *generation) (done int64, complete, canceled bool, nextToken chan struct{}) {
	en.stateMu.Lock()
	defer en.stateMu.Unlock()
	return ge.done, ge.done >= ge.length, ge.canceled, ge.changed
}

// writeToken writes an event whose text contains the seed and the offset, so that
// callers can detect duplicated and missing tokens and those of other generations.
func writeToken(wr *bufio.Writer, ge *generation, offset int64) {
	var raw [24]byte
	number := strconv.AppendInt(raw[:0], offset, 10)
	seed := strconv.FormatUint(ge.seed, 36)
	_, _ = wr.WriteString("id: ")
	_, _ = wr.WriteString(ge.id)
	_, _ = wr.WriteString("/")
	_, _ = wr.Write(number)
	if ge.chat {
		_, _ = wr.WriteString("\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"")
	} else {
		_, _ = wr.WriteString("\ndata: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"")
	}
	_, _ = wr.WriteString(seed)
	_, _ = wr.WriteString(":")
	_, _ = wr.Write(number)
	if ge.chat {
		_, _ = wr.WriteString(" \"}}]}\n\n")
		return
	}
	_, _ = wr.WriteString(" \"}]}\n\n")
}
