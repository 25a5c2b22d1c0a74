package command

import (
	"errors"

	"github.com/jessevdk/go-flags"
)

// completion is the command that prints a shell script which completes commands and
// flags.
type completion struct {
	output
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash"`
	} `positional-args:"true" required:"true"`
}

// bashCompletion calls the program for completions. If GO_FLAGS_COMPLETION is set,
// go-flags prints the matching words.
const bashCompletion = `_filbertstall() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:COMP_CWORD}"))
}
complete -o default -F _filbertstall filbertstall
`

// Execute implements flags.Commander.
func (co *completion) Execute([]string) error {
	if co.Args.Shell != "bash" {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: errUnsupportedShell.Error()}
	}
	co.printf("%s", bashCompletion)
	return nil
}

// errUnsupportedShell is returned for a shell other than bash.
var errUnsupportedShell = errors.New("completion: allowed is bash")
