package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/http1"
)

const (
	// callTimeout bounds every call except a watch. An earlier deadline of the
	// context takes precedence.
	callTimeout = 2 * time.Second
	// watchTimeout bounds a watch. It is longer than the platform's own time
	// limit for a watch, so that the platform responds first.
	watchTimeout = 40 * time.Second
	// versionHeader is the response header with the version of an object.
	versionHeader = "Object-Version"
	// previousHeader is the request header with the version that the object must
	// have for a write to succeed.
	previousHeader = "If-Object-Version"
)

// HTTPStore implements Store over the platform's HTTP interface. Set the fields
// before the first call. It is safe for concurrent use.
type HTTPStore struct {
	// URL is the base URL of the platform's object API.
	URL string
	// Client is the HTTP client. Nil selects a default client.
	Client *fasthttp.Client
}

// defaultClient does not retry calls, unlike the default of fasthttp. A Guard retries
// the calls for which that is safe.
var defaultClient = &fasthttp.Client{
	NoDefaultUserAgentHeader: true,
	MaxResponseBodySize:      64 << 20,
	ConfigureClient:          http1.Configure,
	RetryIfErr:               func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
}

// Get implements Store.
func (hs *HTTPStore) Get(ctx context.Context, key string) (Object, error) {
	ca := call{op: "get", key: key, method: http.MethodGet, path: "/objects/" + key, timeout: callTimeout}
	ob := Object{Key: key}
	err := hs.do(ctx, ca, func(resp *fasthttp.Response) error {
		ob.Value = append([]byte(nil), resp.Body()...)
		return parseVersion(resp, &ob.Version)
	})
	return ob, err
}

// List implements Store.
func (hs *HTTPStore) List(ctx context.Context, prefix string) (Listing, error) {
	ca := call{op: "list", key: prefix, method: http.MethodGet, path: "/objects?prefix=" + url.QueryEscape(prefix), timeout: callTimeout}
	return hs.listing(ctx, ca)
}

// Watch implements Store.
func (hs *HTTPStore) Watch(ctx context.Context, prefix string, after int64) (Listing, error) {
	query := "/objects?watch=true&prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatInt(after, 10)
	ca := call{op: "watch", key: prefix, method: http.MethodGet, path: query, timeout: watchTimeout}
	results := make(chan watchResult, 1)
	go func() {
		li, err := hs.listing(ctx, ca)
		results <- watchResult{listing: li, err: err}
	}()
	// fasthttp does not cancel a call with its context, so the goroutine runs on
	// until the platform responds or watchTimeout passes.
	select {
	case re := <-results:
		return re.listing, re.err
	case <-ctx.Done():
		return Listing{}, ca.newError(Unavailable, ctx.Err())
	}
}

// watchResult is the result of a watch that runs in its own goroutine.
type watchResult struct {
	listing Listing
	err     error
}

func (hs *HTTPStore) listing(ctx context.Context, ca call) (Listing, error) {
	var li Listing
	err := hs.do(ctx, ca, func(resp *fasthttp.Response) (err error) {
		li, err = decodeListing(resp.Body())
		return err
	})
	return li, err
}

// errIncompleteListing means that a listing lacks its objects or its revision. Only a list that is
// there, and empty, says that there are no objects.
var errIncompleteListing = errors.New("the listing lacks its objects or its revision")

func decodeListing(data []byte) (Listing, error) {
	var given struct {
		Revision json.RawMessage `json:"revision"`
		Objects  json.RawMessage `json:"objects"`
	}
	if err := json.Unmarshal(data, &given); err != nil {
		return Listing{}, err
	}
	if given.Revision == nil || given.Objects == nil {
		return Listing{}, errIncompleteListing
	}
	var li Listing
	err := json.Unmarshal(data, &li)
	return li, err
}

// Update implements Store.
func (hs *HTTPStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, &Error{Op: "update", Key: key, Kind: Rejected, Err: errors.New("value is over 1 MiB")}
	}
	ca := call{op: "update", key: key, method: http.MethodPut, path: "/objects/" + key, previous: previous, body: value, write: true, timeout: callTimeout}
	var version int64
	err := hs.do(ctx, ca, func(resp *fasthttp.Response) error { return parseVersion(resp, &version) })
	return version, err
}

// Delete implements Store.
func (hs *HTTPStore) Delete(ctx context.Context, key string, previous int64) error {
	ca := call{op: "delete", key: key, method: http.MethodDelete, path: "/objects/" + key, previous: previous, write: true, timeout: callTimeout}
	return hs.do(ctx, ca, func(*fasthttp.Response) error { return nil })
}

// Instances implements Store.
func (hs *HTTPStore) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	ca := call{op: "instances", key: "instances", method: http.MethodGet, path: "/instances", timeout: callTimeout}
	err := hs.do(ctx, ca, func(resp *fasthttp.Response) error { return json.Unmarshal(resp.Body(), &list) })
	return list, err
}

// call describes one HTTP request to the platform.
type call struct {
	op, key  string
	method   string
	path     string
	previous int64
	body     []byte
	write    bool
	timeout  time.Duration
}

func (ca call) newError(ki ErrorKind, err error) error {
	return &Error{Op: ca.op, Key: ca.key, Kind: ki, Err: err}
}

// transportError classifies a call without a usable response. A write is Unknown
// as soon as any byte of the request may have been sent.
func (ca call) transportError(err error) error {
	if ca.write && !neverSent(err) {
		return ca.newError(Unknown, err)
	}
	return ca.newError(Unavailable, err)
}

// neverSent reports whether the request failed before a connection was available,
// so that no byte of it was sent.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		(errors.As(err, &oe) && oe.Op == "dial")
}

func (hs *HTTPStore) do(ctx context.Context, ca call, read func(*fasthttp.Response) error) error {
	if err := ctx.Err(); err != nil {
		return ca.newError(Unavailable, err)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(ca.method)
	req.SetRequestURI(hs.URL + ca.path)
	req.SetBody(ca.body)
	if ca.write {
		req.Header.Set(previousHeader, strconv.FormatInt(ca.previous, 10))
	}
	deadline := time.Now().Add(ca.timeout)
	if until, ok := ctx.Deadline(); ok && until.Before(deadline) {
		deadline = until
	}
	client := hs.Client
	if client == nil {
		client = defaultClient
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return ca.transportError(err)
	}
	if err := ca.statusError(resp.StatusCode()); err != nil {
		return err
	}
	if err := read(resp); err != nil {
		return ca.transportError(err)
	}
	return nil
}

func (ca call) statusError(code int) error {
	switch {
	case code == http.StatusOK:
		return nil
	case code == http.StatusNotFound:
		return ca.newError(NotFound, nil)
	case code == http.StatusPreconditionFailed:
		return ca.newError(Conflict, nil)
	case code == http.StatusTooManyRequests:
		return ca.newError(Unavailable, nil)
	case code >= http.StatusInternalServerError:
		return ca.transportError(errors.New(http.StatusText(code)))
	default:
		return ca.newError(Rejected, errors.New(http.StatusText(code)))
	}
}

func parseVersion(resp *fasthttp.Response, into *int64) error {
	version, err := strconv.ParseInt(string(resp.Header.Peek(versionHeader)), 10, 64)
	*into = version
	return err
}
