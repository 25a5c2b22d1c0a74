package command

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/control"
	"filbertstall.example/filbertstall/internal/http1"
	"filbertstall.example/filbertstall/internal/refusal"
)

const (
	// callTimeout bounds one attempt of a request to an instance.
	callTimeout = 15 * time.Second
	// maxAttempts is the maximum number of attempts of a request that gets no
	// response. All requests are safe to retry: confirming and canceling a plan
	// are idempotent, and a plan that is made twice changes nothing until it is
	// confirmed.
	maxAttempts = 4
	// retryDelay is the delay after each attempt that got no response.
	retryDelay = 300 * time.Millisecond
)

// operatorAccess holds the flags with which a command reaches the operator listener
// of an instance, and sends its requests.
type operatorAccess struct {
	output
	Operator string `long:"operator" env:"FILBERTSTALL_OPERATOR" value-name:"URL" required:"true" description:"Operator address of any instance"`
	Token    string `long:"token" env:"FILBERTSTALL_TOKEN" value-name:"TOKEN" required:"true" description:"Operator's bearer token"`
	CAFile   string `long:"ca-file" value-name:"FILE" description:"Authorities of the instance's certificate; the system's by default"`
	Output   string `long:"output" choice:"table" choice:"json" default:"table" description:"How to print"`
}

// conflictError means that the instance refused a plan because of a conflict.
type conflictError struct{ control.PlanAnswer }

// Error implements error.
func (co conflictError) Error() string { return "refused: " + co.Conflict }

func (ac *operatorAccess) client() (*fasthttp.Client, error) {
	cl := &fasthttp.Client{NoDefaultUserAgentHeader: true, ConfigureClient: http1.Configure}
	if ac.CAFile == "" {
		return cl, nil
	}
	pem, err := os.ReadFile(ac.CAFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New(ac.CAFile + ": holds no certificate")
	}
	cl.TLSConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return cl, nil
}

// call sends a request and decodes the response into the value that into points to.
// It retries a request that gets no response.
func (ac *operatorAccess) call(method, path string, body []byte, into any) error {
	cl, err := ac.client()
	if err != nil {
		return commandError{err}
	}
	for range maxAttempts {
		var lost bool
		if lost, err = ac.roundTrip(cl, method, path, body, into); !lost {
			return err
		}
		time.Sleep(retryDelay)
	}
	return commandError{err}
}

func (ac *operatorAccess) roundTrip(cl *fasthttp.Client, method, path string, body []byte, into any) (lost bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(strings.TrimSuffix(ac.Operator, "/") + path)
	req.Header.Set("Authorization", "Bearer "+ac.Token)
	req.SetBody(body)
	if err := cl.DoTimeout(req, resp, callTimeout); err != nil {
		return true, fmt.Errorf("%s does not answer: %w", ac.Operator, err)
	}
	return false, ac.decode(resp, into)
}

func (ac *operatorAccess) decode(resp *fasthttp.Response, into any) error {
	switch resp.StatusCode() {
	case http.StatusOK:
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return commandError{fmt.Errorf("the answer is not understood: %w", err)}
		}
		return nil
	case http.StatusConflict:
		var co conflictError
		if err := json.Unmarshal(resp.Body(), &co.PlanAnswer); err == nil && co.Conflict != "" {
			return co
		}
	}
	var pr refusal.Problem
	if err := json.Unmarshal(resp.Body(), &pr); err != nil || pr.Detail == "" {
		return commandError{fmt.Errorf("status %d", resp.StatusCode())}
	}
	return commandError{errors.New(pr.Detail)}
}

// printJSON prints a value as JSON.
func (ou output) printJSON(value any) error {
	en := json.NewEncoder(ou.out)
	en.SetIndent("", "  ")
	return en.Encode(value)
}
