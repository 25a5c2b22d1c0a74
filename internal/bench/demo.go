// Package bench implements the commands of filbertbench, the load tool. They
// start deployments as local processes, generate load, inject faults and report
// the results that callers observed.
//
// # Usage
//
//	os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr))
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/internal/process"
	"filbertstall.example/filbertstall/internal/scenario"
	"filbertstall.example/filbertstall/pkg/client"
)

// demoTokens is the number of tokens that the demonstration requests.
const demoTokens = 300

// location holds the flags of commands that start a deployment.
type location struct {
	out io.Writer
	Bin string `long:"bin" default:"bin" description:"Folder of the built programs"`
	// Dir receives settings and logs. If empty, a temporary folder is used.
	Dir string `long:"dir" description:"Folder for settings and logs; a temporary one by default"`
}

// folder returns the folder for settings and logs, and a function that removes
// it. The function does nothing if the user named the folder.
func (lo location) folder() (string, func(), error) {
	if lo.Dir != "" {
		return lo.Dir, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "filbertstall-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// start starts a deployment with default options. The returned function removes
// its files and is valid also after an error.
func (lo location) start(ctx context.Context) (*fleet.Fleet, func(), error) {
	dir, remove, err := lo.folder()
	if err != nil {
		return nil, remove, err
	}
	fl, err := fleet.Start(ctx, fleet.Options{Bin: lo.Bin, Dir: dir})
	return fl, remove, err
}

// up is the command that starts a deployment and keeps it running until it is
// interrupted.
type up struct{ location }

// Execute implements flags.Commander.
func (up *up) Execute([]string) error {
	ctx, stop := process.UntilInterrupted()
	defer stop()
	fl, remove, err := up.start(ctx)
	defer remove()
	if err != nil {
		return err
	}
	if err := json.NewEncoder(up.out).Encode(fl.Report); err != nil {
		return err
	}
	<-ctx.Done()
	return fl.Stop()
}

// demo is the command that streams one generation and makes one booking.
type demo struct{ location }

// Execute implements flags.Commander.
func (de *demo) Execute([]string) error {
	ctx, stop := process.UntilInterrupted()
	defer stop()
	fl, remove, err := de.start(ctx)
	defer remove()
	if err != nil {
		return err
	}
	err = de.run(ctx, fl)
	if stopErr := fl.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (de *demo) run(ctx context.Context, fl *fleet.Fleet) error {
	cl := &client.Client{Token: fleet.CallerToken}
	for _, en := range fl.Report.Entries {
		cl.Entries = append(cl.Entries, en.Caller)
	}
	if err := de.stream(ctx, cl); err != nil {
		return fmt.Errorf("generation: %w", err)
	}
	if err := de.book(ctx, cl); err != nil {
		return fmt.Errorf("booking: %w", err)
	}
	return nil
}

func (de *demo) stream(ctx context.Context, cl *client.Client) error {
	body := fmt.Sprintf(`{"model":"filbert","prompt":"Explain chapter 7.","stream":true,"max_tokens":%d}`, demoTokens)
	st := cl.Generate(ctx, client.Generation{Path: "/v1/completions", Body: []byte(body)})
	defer st.Close()
	var tc scenario.TokenCheck
	for {
		ev, err := st.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if err := tc.Check(ev.Data); err != nil {
			return err
		}
	}
	if tc.Tokens != demoTokens {
		return fmt.Errorf("%d tokens where %d were due", tc.Tokens, demoTokens)
	}
	_, err := fmt.Fprintf(de.out, "generation: %d tokens, each once and in order: %s ... %s\n", tc.Tokens, tc.First, tc.Last)
	return err
}

func (de *demo) book(ctx context.Context, cl *client.Client) error {
	an, err := cl.Call(ctx, client.Call{
		Method: http.MethodPost, Service: "rental-desk", Path: "/loans", ContentType: "application/json",
		Body: []byte(`{"book":"algebra-2"}`), Key: "demo-loan-1",
	})
	if err != nil {
		return err
	}
	if an.Status != http.StatusOK || !bytes.Contains(an.Body, []byte(`"number":1`)) {
		return fmt.Errorf("the desk did not begin the booking exactly once: status %d: %s", an.Status, an.Body)
	}
	_, err = fmt.Fprintf(de.out, "booking: %s\n", an.Body)
	return err
}
