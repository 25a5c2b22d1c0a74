package call

import (
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 255

// target is the service, path and query that a caller's URL refers to.
type target struct {
	service string
	// path is the path at the endpoint with the caller's percent-encoding, and
	// decoded is the same path after decoding.
	path, decoded string
	// query begins with "?" or is empty.
	query string
}

// parseTarget splits a URL of the form /services/SERVICE/PATH. The path is
// forwarded to the endpoint without normalization. A path that the endpoint
// could interpret differently is therefore refused, since otherwise a request
// could match an idempotent route here and run another route at the endpoint.
func parseTarget(uri *fasthttp.URI) (target, error) {
	raw := string(uri.PathOriginal())
	decoded, err := url.PathUnescape(raw)
	if err != nil || decoded != string(uri.Path()) {
		return target{}, refusal.New(refusal.BadRequest, "the path must not contain dot segments, empty segments or broken escapes")
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(raw, "/services/"), "/")
	ta := target{service: name, path: "/" + path}
	if ta.decoded, err = url.PathUnescape(ta.path); err != nil {
		return target{}, refusal.Wrap(refusal.BadRequest, "the path has a broken escape", err)
	}
	if query := uri.QueryString(); len(query) > 0 {
		ta.query = "?" + string(query)
	}
	return ta, nil
}

// idempotent reports whether the route is declared idempotent for both the
// encoded and the decoded form of the path.
func (ta target) idempotent(se kind.Service, method string) bool {
	return se.Idempotent(method, ta.path) && se.Idempotent(method, ta.decoded)
}

// parseKey returns the Idempotency-Key, or an empty string if the request has
// none.
func parseKey(header *fasthttp.RequestHeader) (string, error) {
	keys := header.PeekAll(endpoint.KeyHeader)
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 {
		return "", refusal.New(refusal.BadRequest, "there must be at most one Idempotency-Key")
	}
	if len(keys[0]) == 0 || len(keys[0]) > maxKeyBytes {
		return "", refusal.New(refusal.BadRequest, "the Idempotency-Key must have 1 to 255 bytes")
	}
	return string(keys[0]), nil
}
