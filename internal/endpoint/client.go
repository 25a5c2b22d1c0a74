package endpoint

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/http1"
	"filbertstall.example/filbertstall/internal/readlimit"
)

const (
	dialTimeout  = 500 * time.Millisecond
	orderTimeout = 5 * time.Second
	// defaultTimeout is the timeout of requests other than orders, calls and
	// generations.
	defaultTimeout = time.Second
)

// Client sends requests to endpoints. Set the fields before the first call. It
// is safe for concurrent use.
type Client struct {
	// IdleTimeout is how long a stream may make no progress before it fails.
	// Zero means no limit.
	IdleTimeout time.Duration
	// Dial opens connections. Nil means TCP.
	Dial func(address string) (net.Conn, error)
	// Memory limits the answers that are being received, except those of streams. Nil
	// means defaultMemoryBytes.
	Memory *buffer.Budget

	once sync.Once
	http *fasthttp.Client
}

func (cl *Client) prepare() {
	cl.once.Do(func() {
		if cl.Dial == nil {
			cl.Dial = dial
		}
		if cl.Memory == nil {
			cl.Memory = &buffer.Budget{Bytes: defaultMemoryBytes}
		}
		neverRetry := func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
		cl.http = &fasthttp.Client{
			RetryIfErr: neverRetry, NoDefaultUserAgentHeader: true, MaxConnsPerHost: maxConnsPerEndpoint,
			StreamResponseBody: true, Dial: cl.dialLimited, MaxIdemponentCallAttempts: 1,
			DisablePathNormalizing: true, ConfigureClient: http1.Configure,
		}
	})
}

const (
	maxConnsPerEndpoint = 4096
	maxCallAnswerBytes  = 8 << 20
	// maxWireBytes limits an answer with its framing. Beyond it, the call fails.
	maxWireBytes = 2 * maxCallAnswerBytes
	// defaultMemoryBytes is the usual limit for all answers that are being received.
	// Beyond it, calls with the largest answers fail.
	defaultMemoryBytes = 48 << 20
)

func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, dialTimeout)
}

// dialLimited opens a connection for calls.
func (cl *Client) dialLimited(address string) (net.Conn, error) {
	conn, err := cl.Dial(address)
	if err != nil {
		return nil, err
	}
	return &readlimit.Conn{Conn: conn, Bytes: maxWireBytes}, nil
}

// do sends a request over a new connection and receives the whole answer. It returns the
// body. An endpoint may write an answer more than once, and nothing ties an answer to its
// request: on a kept connection, the copy of an earlier answer would be taken for this one.
func (cl *Client) do(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) ([]byte, error) {
	req.SetConnectionClose()
	if err := cl.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	body := buffer.New(cl.Memory)
	defer body.Free()
	err := body.Fill(stream, maxCallAnswerBytes)
	if err := errors.Join(err, resp.CloseBodyStream()); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// Generate starts a generation, or joins it if its ID is already running at the
// endpoint.
func (cl *Client) Generate(url string, ge Generation) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI(url + ge.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set(GenerationHeader, ge.ID)
	req.Header.Set(SeedHeader, strconv.FormatUint(ge.Seed, 10))
	req.Header.Set(PriorityHeader, strconv.Itoa(ge.Priority))
	if ge.ForcedPrefix > 0 {
		req.Header.Set(ForcedPrefixHeader, strconv.FormatInt(ge.ForcedPrefix, 10))
	}
	req.SetBodyRaw(ge.Body)
	return cl.open("generate", url, ge.ID, ge.ForcedPrefix, req)
}

// Resume reads a generation from the token at offset on, over a new connection.
func (cl *Client) Resume(url, id string, offset int64) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(url + "/v1/generations/" + id + "/events?offset=" + strconv.FormatInt(offset, 10))
	return cl.open("resume", url, id, offset, req)
}

// Cancel ends a generation and frees its resources at the engine. Canceling a
// generation that has ended is not an error.
func (cl *Client) Cancel(url, id string) error {
	return cl.exchange("cancel", url, "/v1/generations/"+id, http.MethodDelete, nil, 0, nil)
}

// CancelUnread cancels a generation unless a client is reading it. The engine
// decides this. An error of kind Refused means that the generation is being read
// and was not canceled.
func (cl *Client) CancelUnread(url, id string) error {
	cl.prepare()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(http.MethodDelete)
	req.SetRequestURI(url + "/v1/generations/" + id)
	req.Header.Set(UnreadHeader, "true")
	if _, err := cl.do(req, resp, defaultTimeout); err != nil {
		return classify("cancel", url, err)
	}
	return checkStatus("cancel", url, resp.StatusCode())
}

// Load fetches the load report of an engine.
func (cl *Client) Load(url string) (Load, error) {
	var lo Load
	err := cl.exchange("load", url, "/load", http.MethodGet, nil, 0, &lo)
	return lo, err
}

// CacheEvents fetches the cache events that follow a sequence number.
func (cl *Client) CacheEvents(url string, after int64) ([]CacheEvent, error) {
	var list []CacheEvent
	err := cl.exchange("cache_events", url, "/cache/events?after="+strconv.FormatInt(after, 10), http.MethodGet, nil, 0, &list)
	return list, err
}

// Order sends an order to an endpoint. An error of kind Fenced means that the
// fencing token of the order is outdated.
func (cl *Client) Order(url string, or Order) error {
	return cl.exchange("order", url, "/orders", http.MethodPost, or, or.Fencing, nil)
}

// exchange sends a request. If body is not nil, it is sent as JSON together with
// the fencing token, and the timeout is orderTimeout. If into is not nil, the JSON
// response is decoded into it.
func (cl *Client) exchange(op, url, path, method string, body any, fencing int64, into any) error {
	cl.prepare()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url + path)
	timeout := defaultTimeout
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: op, URL: url, Kind: Refused, Err: err}
		}
		req.SetBody(data)
		req.Header.Set(FencingHeader, strconv.FormatInt(fencing, 10))
		timeout = orderTimeout
	}
	answer, err := cl.do(req, resp, timeout)
	if err != nil {
		return classify(op, url, err)
	}
	if err := checkStatus(op, url, resp.StatusCode()); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return &Error{Op: op, URL: url, Kind: Failed, Err: err}
	}
	return nil
}

// Call sends one request to a plain service, without retries. A response with
// any HTTP status is a success. An error means that there is no response.
func (cl *Client) Call(url string, re Request) (Response, error) {
	cl.prepare()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(re.Method)
	req.SetRequestURI(url + re.Path)
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetContentType(re.ContentType)
	for _, he := range re.Headers {
		req.Header.Add(he.Name, he.Value)
	}
	if re.Key != "" {
		req.Header.Set(KeyHeader, re.Key)
	}
	req.SetBodyRaw(re.Body)
	body, err := cl.do(req, resp, re.Timeout)
	if err != nil {
		return Response{}, classify("call", url, err)
	}
	resp.Header.SetNoDefaultContentType(true)
	an := Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
	}
	for name, value := range resp.Header.All() {
		an.Headers = append(an.Headers, Header{Name: string(name), Value: string(value)})
	}
	return an, nil
}

func classify(op, url string, err error) error {
	ki := Lost
	var oe *net.OpError
	dialFailed := errors.As(err, &oe) && oe.Op == "dial"
	if dialFailed || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		ki = Unreachable
	}
	var ne net.Error
	if ki == Lost && errors.As(err, &ne) && ne.Timeout() {
		ki = TimedOut
	}
	return &Error{Op: op, URL: url, Kind: ki, Err: err}
}

func checkStatus(op, url string, code int) error {
	var ki ErrorKind
	switch {
	case code == http.StatusOK:
		return nil
	case code == http.StatusNotFound:
		ki = Gone
	case code == http.StatusPreconditionFailed:
		ki = Fenced
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		ki = Refused
	case code < http.StatusInternalServerError:
		ki = Refused
	default:
		ki = Failed
	}
	return &Error{Op: op, URL: url, Kind: ki, Err: errors.New("status " + strconv.Itoa(code))}
}
