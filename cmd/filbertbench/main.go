// Command filbertbench starts deployments of stand-ins, generates load and reports
// the results that callers observed. See the package internal/bench.
package main

import (
	"os"

	"filbertstall.example/filbertstall/internal/bench"
)

func main() {
	os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr))
}
