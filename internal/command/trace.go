package command

import (
	"fmt"
	"io"
	"os"

	tracing "filbertstall.example/filbertstall/internal/trace"
	"filbertstall.example/filbertstall/platform"
)

// trace prints what logs say of a request.
type trace struct {
	output
	Raw  bool `long:"raw" description:"Print the log lines as they are"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"The request's ID"`
		Logs    []string `positional-arg-name:"LOG" description:"Logs of instances; standard input otherwise"`
	} `positional-args:"true" required:"1"`
}

// Execute implements flags.Commander. It fails if no line has the request.
func (tr *trace) Execute([]string) error {
	readers := []io.Reader{}
	for _, path := range tr.Args.Logs {
		file, err := os.Open(path) //nolint:gosec // the operator names the file
		if err != nil {
			return fault{err}
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	if len(readers) == 0 {
		readers = append(readers, os.Stdin)
	}
	st, err := tracing.Read(io.MultiReader(readers...), tr.Args.Request)
	if err != nil {
		return fault{err}
	}
	if len(st.Lines) == 0 {
		return fault{fmt.Errorf("trace: no line about request %s", tr.Args.Request)}
	}
	for _, li := range st.Lines {
		text := li.String()
		if tr.Raw {
			text = li.Raw
		}
		_, _ = fmt.Fprintln(tr.out, text)
	}
	_, _ = fmt.Fprintln(tr.out, st.Cause())
	return nil
}

// checkPlatform checks a settings file of the platform.
func checkPlatform(ou output, path string) error {
	se, err := platform.LoadSettings(path)
	if err != nil {
		return fault{err}
	}
	_, _ = fmt.Fprintf(ou.out, "%s: settings of instance %s in zone %s are valid\n", path, se.Instance, se.Zone)
	return nil
}
