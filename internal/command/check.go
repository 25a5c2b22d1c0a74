package command

import (
	"fmt"

	"filbertstall.example/filbertstall/internal/setting"
)

// check is the command that validates a settings file.
type check struct {
	output
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"The settings file"`
	Platform bool   `long:"platform" description:"The file has the platform's format, that of the command gateway"`
}

// Execute implements flags.Commander.
func (ch *check) Execute([]string) error {
	if ch.Platform {
		return checkPlatform(ch.output, ch.Settings)
	}
	se, err := setting.Load(ch.Settings)
	if err != nil {
		return commandError{err}
	}
	_, _ = fmt.Fprintf(ch.out, "%s: settings of instance %s in zone %s are valid\n", ch.Settings, se.Name, se.Zone)
	return nil
}
