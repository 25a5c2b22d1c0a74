// Command standin runs a stand-in for a model engine, a plain service or the
// platform. It prints one JSON line with its address and process ID when it listens.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"filbertstall.example/filbertstall/internal/process"
	"filbertstall.example/filbertstall/internal/standin"
)

// listenFlags holds the flags that all stand-ins share.
type listenFlags struct {
	Name   string `long:"name" default:"standin" description:"Name in answers"`
	Listen string `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
}

// readyLine is the JSON line that a stand-in prints when it listens.
type readyLine struct {
	URL string `json:"url"`
	PID int    `json:"pid"`
}

func (li listenFlags) serve(ha standin.Handler) error {
	process.IgnoreHangups()
	ln, err := net.Listen("tcp", li.Listen)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(readyLine{URL: "http://" + ln.Addr().String(), PID: os.Getpid()}); err != nil {
		return err
	}
	return standin.Serve(ln, ha)
}

type engine struct {
	listenFlags
	Seed          uint64        `long:"seed" default:"1" description:"Draws lengths that no request states"`
	MemoryTokens  int           `long:"memory-tokens" default:"60000" description:"Decode memory"`
	Sequences     int           `long:"sequences" default:"256" description:"Most sequences at once"`
	ColdSequences int           `long:"cold-sequences" default:"4" description:"Most sequences at once while cold"`
	WarmTokens    int64         `long:"warm-tokens" default:"500" description:"Tokens until the engine is warm"`
	StepBase      time.Duration `long:"step-base" default:"12ms" description:"Time of a decode step"`
	StepPer       time.Duration `long:"step-per-sequence" default:"120us" description:"Added per sequence"`
	ReportLag     time.Duration `long:"report-lag" default:"500ms" description:"Lag of the load report"`
	Grace         time.Duration `long:"grace" default:"10s" description:"How long a generation without a reader goes on"`
	IgnoreFencing bool          `long:"ignore-fencing" description:"Take orders with an old fencing number"`
}

// Execute implements flags.Commander.
func (en *engine) Execute([]string) error {
	return en.serve(standin.NewEngine(standin.EngineOptions{
		Name: en.Name, Seed: en.Seed, MemoryTokens: en.MemoryTokens, Sequences: en.Sequences,
		ColdSequences: en.ColdSequences, WarmTokens: en.WarmTokens, StepBase: en.StepBase, StepPerSequence: en.StepPer,
		ReportLag: en.ReportLag, Grace: en.Grace, IgnoreFencing: en.IgnoreFencing,
	}))
}

type service struct {
	listenFlags
	Delay time.Duration `long:"delay" default:"5ms" description:"How long a call takes"`
}

// Execute implements flags.Commander.
func (se *service) Execute([]string) error {
	return se.serve(&standin.Service{Name: se.Name, Delay: se.Delay})
}

type platform struct {
	listenFlags
	ListLag time.Duration `long:"list-lag" default:"1s" description:"Lag of the list of instances"`
}

// Execute implements flags.Commander.
func (pl *platform) Execute([]string) error {
	return pl.serve(standin.NewPlatform(pl.ListLag))
}

// options holds the commands of the program.
type options struct {
	Engine   engine   `command:"engine" description:"A model engine"`
	Service  service  `command:"service" description:"A plain service"`
	Platform platform `command:"platform" description:"The platform's object API"`
}

func main() {
	var op options
	_, err := flags.NewParser(&op, flags.HelpFlag|flags.PassDoubleDash).Parse()
	var flagErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
