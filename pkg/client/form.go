package client

import (
	"errors"
	"fmt"
	"net/http"
)

// errMalformed is the cause of an error for an answer whose head HTTP does not allow. The HTTP
// library accepts it.
var errMalformed = errors.New("the head of the answer is malformed")

const (
	minStatus = 100
	maxStatus = 599
)

// do sends a request once. A malformed answer is no answer.
func (cl *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := cl.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	if err := checkForm(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func checkForm(resp *http.Response) error {
	switch {
	case resp.ProtoMajor < 1:
		return fmt.Errorf("%w: its version is %s", errMalformed, resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: its status is %03d", errMalformed, resp.StatusCode)
	default:
		return nil
	}
}
