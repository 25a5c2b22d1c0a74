// Command filbertstall runs an entry instance, which serves callers, and offers the
// commands with which operators plan and confirm changes. See the package
// internal/command.
package main

import (
	"os"

	"filbertstall.example/filbertstall/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
