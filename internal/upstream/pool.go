package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout is shorter than the one second after which a lost SYN packet is
	// retransmitted, since it is better to try another endpoint in that time.
	dialTimeout = 200 * time.Millisecond
	// defaultIdleLimit applies to endpoints that announce no idle timeout.
	defaultIdleLimit = 3 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint announces,
	// so that no request is sent while the endpoint closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxStaleAnswers is the maximum number of answers to earlier requests that are
	// skipped before the answer to a request.
	maxStaleAnswers = 2
	// maxStaleBodyBytes is the maximum body size of a skipped answer.
	maxStaleBodyBytes = 1 << 20
)

// Pool sends calls and pools idle connections. The fields must be set before the
// first call. It is safe for concurrent use.
type Pool struct {
	// IDHeader is the header field in which endpoints return the ID of a request.
	IDHeader string
	Clock    clockwork.Clock
	// Dial opens connections. If it is nil, connections use TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnSkip is called for each answer that is skipped because it belongs to an earlier
	// call. It may be nil.
	OnSkip func(Skipped)

	mu   sync.Mutex
	idle map[poolKey][]*conn
}

// Skipped describes an answer that was skipped.
type Skipped struct {
	// CallID is the ID of the call whose answer is still due, AnswerID that of the earlier
	// call to which the answer belongs.
	CallID, AnswerID string
	// Status is the status of the skipped answer.
	Status     int
	Connection Connection
}

// poolKey identifies the idle connections that a call may use.
type poolKey struct {
	address string
	hasID   bool
}

// Do sends a call and reads the head of its answer. The context applies to the
// whole call until the answer is closed. Errors are of type *Error.
func (po *Pool) Do(ctx context.Context, ca Call) (*Answer, error) {
	cn, reused, err := po.connect(ctx, ca)
	if err != nil {
		return nil, &Error{Op: "connect", Address: ca.Address, Kind: kindOf(ctx, NotSent), Err: err}
	}
	stop := context.AfterFunc(ctx, cn.close)
	an, err := po.exchange(cn, reused, ca)
	if err != nil {
		stop()
		cn.close()
		var er *Error
		if errors.As(err, &er) {
			return nil, er
		}
		return nil, &Error{Op: "exchange", Address: ca.Address, Kind: kindOf(ctx, Lost), Err: err}
	}
	an.onClose = func() {
		if !stop() {
			an.keepAlive = false
		}
	}
	return an, nil
}

func kindOf(ctx context.Context, ki ErrorKind) ErrorKind {
	if ctx.Err() != nil {
		return Canceled
	}
	return ki
}

func (po *Pool) exchange(cn *conn, reused bool, ca Call) (*Answer, error) {
	if err := cn.send(ca); err != nil {
		return nil, err
	}
	for range maxStaleAnswers + 1 {
		var head fasthttp.ResponseHeader
		if err := readHead(cn.rd, &head); err != nil {
			return nil, err
		}
		an := newAnswer(po, cn, &head, ca.Method)
		cn.idleLimit = idleLimitOf(an.Get("Keep-Alive"))
		if an.Get(po.IDHeader) == ca.ID {
			// A refusal of a call without an ID may be repeated where the answer to
			// another such call is due.
			isRefusal := ca.ID == "" && an.Status >= http.StatusMultipleChoices
			an.keepAlive = an.keepAlive && !ca.needsOwnConnection() && !isRefusal && !cn.isUsedUp()
			return an, nil
		}
		// Only a reused connection can carry an answer to an earlier request. The
		// next answer can be found only if the body of this one is delimited.
		if !reused || !an.Framed || an.Get(po.IDHeader) == "" {
			break
		}
		if po.OnSkip != nil {
			po.OnSkip(Skipped{CallID: ca.ID, AnswerID: an.Get(po.IDHeader), Status: an.Status, Connection: an.Connection()})
		}
		if err := an.Discard(maxStaleBodyBytes); err != nil {
			return nil, err
		}
	}
	return nil, &Error{Op: "exchange", Address: ca.Address, Kind: Mismatched, Err: errors.New("the answer belongs to another request")}
}

// idleLimitOf returns how long a connection may stay idle, given the value of a
// Keep-Alive field. The value may be empty.
func idleLimitOf(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if count, err := strconv.Atoi(seconds); err == nil && count > 0 {
			return max(time.Duration(count)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleLimit
}

func (po *Pool) connect(ctx context.Context, ca Call) (cn *conn, reused bool, err error) {
	if ca.MaxIdle > 0 && !ca.needsOwnConnection() {
		if cn := po.take(ca); cn != nil {
			return cn, true, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := po.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, ca.Address)
	if err != nil {
		if ctx.Err() != nil {
			po.drop(ca.Address)
		}
		return nil, false, err
	}
	return newConn(nc, ca.poolKey()), false, nil
}

// drop closes the idle connections to an address to which a new one timed out: they
// hang, too.
func (po *Pool) drop(address string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, hasID := range []bool{false, true} {
		ke := poolKey{address: address, hasID: hasID}
		for _, cn := range po.idle[ke] {
			cn.close()
		}
		delete(po.idle, ke)
	}
}

// Reachable reports whether a new connection to the address can be opened.
func (po *Pool) Reachable(ctx context.Context, address string) bool {
	cn, _, err := po.connect(ctx, Call{Address: address})
	if err != nil {
		return false
	}
	cn.close()
	return true
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	di := net.Dialer{KeepAlive: -1}
	return di.DialContext(ctx, "tcp4", address)
}

// take returns the most recently used idle connection that is still usable and has not
// carried a call with the same ID, or nil if there is none. Connections that are not usable
// are closed.
func (po *Pool) take(ca Call) *conn {
	now := po.Clock.Now()
	for {
		cn := po.remove(ca)
		if cn == nil {
			return nil
		}
		if now.Sub(cn.idleSince) < min(ca.MaxIdle, cn.idleLimit) && cn.reusable() {
			return cn
		}
		cn.close()
	}
}

// remove removes the most recently used idle connection that has not carried a call with the
// same ID from the pool and returns it, or nil if there is none. If all have carried it, the
// one that was idle for longest is closed: the new connection takes its place.
func (po *Pool) remove(ca Call) *conn {
	ke, id := ca.poolKey(), hashID(ca.ID)
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[ke]
	if ix := lastWithout(list, id); ix >= 0 {
		cn := list[ix]
		po.idle[ke] = slices.Delete(list, ix, ix+1)
		return cn
	}
	if len(list) > 0 {
		list[0].close()
		po.idle[ke] = slices.Delete(list, 0, 1)
	}
	return nil
}

// lastWithout returns the index of the last connection that has not carried a call with an ID,
// given its hash, or -1.
func lastWithout(list []*conn, id uint64) int {
	for ix, cn := range slices.Backward(list) {
		if !cn.hasCarried(id) {
			return ix
		}
	}
	return -1
}

func (po *Pool) put(cn *conn) {
	cn.idleSince = po.Clock.Now()
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.idle == nil {
		po.idle = make(map[poolKey][]*conn)
	}
	po.idle[cn.key] = append(po.idle[cn.key], cn)
}

// Prune closes connections that have exceeded their idle limit. It must be called
// periodically, since expired connections are otherwise closed only when a call
// to the same address would use them.
func (po *Pool) Prune() {
	now := po.Clock.Now()
	po.mu.Lock()
	defer po.mu.Unlock()
	for ke, list := range po.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) < cn.idleLimit {
				kept = append(kept, cn)
				continue
			}
			cn.close()
		}
		if len(kept) == 0 {
			delete(po.idle, ke)
			continue
		}
		po.idle[ke] = kept
	}
}
