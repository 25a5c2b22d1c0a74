package call

import (
	"iter"
	"strings"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/endpoint"
)

// hopByHopHeaders are the headers that are not forwarded because they describe
// a single connection, or because the next hop sets them again.
var hopByHopHeaders = headerSet(
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Content-Type",
)

// reservedRequestHeaders are the request headers that the system reads or sets
// itself. They are not copied from the caller's request.
var reservedRequestHeaders = headerSet(
	"Authorization", "Host", "Expect", "Request-Timeout",
	endpoint.KeyHeader, endpoint.FencingHeader,
)

// reservedResponseHeaders are the response headers that are not copied from the
// endpoint's response. The entry server sets its own Date and sends no Server.
var reservedResponseHeaders = headerSet("Date", "Server")

func headerSet(list ...string) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, name := range list {
		set[strings.ToLower(name)] = true
	}
	return set
}

// endToEndRequestHeaders returns the request headers to forward to the
// endpoint. connection is the value of the Connection header, which may list
// further headers that must not be forwarded.
func endToEndRequestHeaders(all iter.Seq2[[]byte, []byte], connection string) []endpoint.Header {
	listed := make(map[string]bool)
	for name := range strings.SplitSeq(connection, ",") {
		listed[strings.ToLower(strings.TrimSpace(name))] = true
	}
	var kept []endpoint.Header
	for name, value := range all {
		lower := strings.ToLower(string(name))
		if hopByHopHeaders[lower] || reservedRequestHeaders[lower] || listed[lower] {
			continue
		}
		kept = append(kept, endpoint.Header{Name: string(name), Value: string(value)})
	}
	return kept
}

// endToEndResponseHeaders returns the response headers to forward to the
// caller. Headers that the Connection header lists are left out.
func endToEndResponseHeaders(all []endpoint.Header) []endpoint.Header {
	listed := make(map[string]bool)
	for _, he := range all {
		if strings.EqualFold(he.Name, "Connection") {
			for name := range strings.SplitSeq(he.Value, ",") {
				listed[strings.ToLower(strings.TrimSpace(name))] = true
			}
		}
	}
	var kept []endpoint.Header
	for _, he := range all {
		lower := strings.ToLower(he.Name)
		if hopByHopHeaders[lower] || reservedResponseHeaders[lower] || listed[lower] {
			continue
		}
		kept = append(kept, he)
	}
	return kept
}

// writeResponse copies the endpoint's response into the caller's response.
func writeResponse(resp *fasthttp.Response, an endpoint.Response) {
	resp.SetStatusCode(an.Status)
	resp.Header.SetNoDefaultContentType(true)
	resp.Header.SetContentType(an.ContentType)
	for _, he := range an.Headers {
		resp.Header.Add(he.Name, he.Value)
	}
	resp.SetBody(an.Body)
}
