package command

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	tracing "filbertstall.example/filbertstall/internal/trace"
	"filbertstall.example/filbertstall/platform"
)

// trace is the command that prints the log lines about a request and the cause of
// its outcome.
type trace struct {
	output
	Raw  bool `long:"raw" description:"Print the log lines as they are"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"The request's ID"`
		Logs    []string `positional-arg-name:"LOG" description:"Logs of instances; standard input otherwise"`
	} `positional-args:"true" required:"1"`
}

// Execute implements flags.Commander. It fails if no log line is about the request.
func (tr *trace) Execute([]string) error {
	logs, closeLogs, err := openLogs(tr.Args.Logs)
	if err != nil {
		return commandError{err}
	}
	defer closeLogs()
	st, err := tracing.Read(logs, tr.Args.Request)
	if err != nil {
		return commandError{err}
	}
	if len(st.Lines) == 0 {
		return commandError{fmt.Errorf("trace: no line about request %s", tr.Args.Request)}
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

// openLogs returns a reader of the concatenated log files, or of standard input if
// paths is empty.
func openLogs(paths []string) (logs io.Reader, closeLogs func(), err error) {
	if len(paths) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []io.Closer
	var readers []io.Reader
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, path := range paths {
		file, err := os.Open(path) //nolint:gosec // the operator names the file
		if err != nil {
			closeLogs()
			return nil, nil, err
		}
		files, readers = append(files, file), append(readers, file)
	}
	return io.MultiReader(readers...), closeLogs, nil
}

// losses is the command that counts the outcomes of the generations in logs.
type losses struct {
	output
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"Logs of instances; standard input otherwise"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (lo *losses) Execute([]string) error {
	logs, closeLogs, err := openLogs(lo.Args.Logs)
	if err != nil {
		return commandError{err}
	}
	defer closeLogs()
	rows, err := tracing.CountEndings(logs)
	if err != nil {
		return commandError{err}
	}
	tw := tabwriter.NewWriter(lo.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "ENDING\tCOUNT\tEVENTS\tEXAMPLE")
	for _, ro := range rows {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%s\n", ro.Ending, ro.Count, ro.Events, ro.Example)
	}
	if err := tw.Flush(); err != nil {
		return commandError{err}
	}
	return nil
}

// checkPlatform validates a settings file in the platform's format.
func checkPlatform(ou output, path string) error {
	se, err := platform.LoadSettings(path)
	if err != nil {
		return commandError{err}
	}
	_, _ = fmt.Fprintf(ou.out, "%s: settings of instance %s in zone %s are valid\n", path, se.Instance, se.Zone)
	return nil
}
