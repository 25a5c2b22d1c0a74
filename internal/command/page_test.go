package command_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/command"
	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/control"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/peer/peerfake"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

const operatorToken = "page-operator"

func pageDocument() kind.Document {
	doc := kind.Document{
		Version: 1,
		Zones: []kind.Zone{
			{Name: "zone-a", Region: "r", State: kind.ZoneServing}, {Name: "zone-b", Region: "r", State: kind.ZoneServing},
		},
		Services: []kind.Service{{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"}},
		Teams: []kind.Team{
			{Name: "librarians", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("l")}},
			{Name: "operators", Weight: 1, Role: kind.RoleConfirm, TokenHashes: []string{kind.HashToken(operatorToken)}},
			{Name: "viewers", Weight: 1, Role: kind.RoleView, TokenHashes: []string{kind.HashToken("page-viewer")}},
		},
	}
	for ix := range 4 {
		doc.Endpoints = append(doc.Endpoints, kind.Endpoint{
			Name: "engine-" + strconv.Itoa(ix), Service: "filbert-pool", Zone: doc.Zones[ix%2].Name, URL: "http://127.0.0.1:1",
			State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 256, ColdSequences: 4, MemoryTokens: 60000},
		})
	}
	return doc
}

// startFleet starts three instances in this process and returns the operator
// address of the first.
func startFleet(t *testing.T) string {
	t.Helper()
	store, clock := platformfake.New(), clockwork.NewRealClock()
	cf, err := kind.NewConfiguration(pageDocument())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configuration.Publish(t.Context(), store, 0, cf); err != nil {
		t.Fatal(err)
	}
	ne := peerfake.New(clock)
	var list []platform.Instance
	address := ""
	for ix, zone := range []string{"zone-a", "zone-a", "zone-b"} {
		self := member.Member{Name: "entry-" + strconv.Itoa(ix), Zone: zone, Peer: "10.0.0." + strconv.Itoa(ix) + ":7100", Started: clock.Now()}
		list = append(list, platform.Instance{Name: self.Name, Zone: zone, State: platform.InstanceLive, Peer: self.Peer})
		store.SetInstances(list)
		url := startInstance(t, store, ne, self)
		if ix == 0 {
			address = url
		}
	}
	return address
}

// startInstance starts one instance and returns its operator address. The instance
// runs until the test ends.
func startInstance(t *testing.T, store *platformfake.Store, ne *peerfake.Net, self member.Member) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	holder := new(snapshot.Holder[kind.Configuration])
	co := &control.Control{
		Self: self, Store: store, Caller: ne.Caller(self.Peer), Holder: holder, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		Stop: func() {
			ne.Close(self.Peer)
			cancel()
		},
	}
	co.Build()
	co.CountGrants(&admission.LocalGranter{Configuration: holder})
	ne.Listen(self.Peer, self.Zone, co.Services())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &operator.Server{
		Listener: ln, Configuration: holder, Ready: func() bool { return true }, Instance: self.Name, Zone: self.Zone, Routes: co.Routes(),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		gr := controller.Group{Controllers: append(co.Controllers(), server)}
		_ = gr.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return "http://" + ln.Addr().String()
}

// run runs a command line and returns its exit code and its output.
func run(line ...string) (code int, printed string) {
	var out, errOut bytes.Buffer
	code = command.Run(line, &out, &errOut)
	return code, out.String() + errOut.String()
}

// session runs the commands of one documentation page. The word PLAN on a page
// stands for the ID of the last plan that was made.
type session struct {
	t    *testing.T
	dir  string
	plan string
	// printed is the output of the last command.
	printed string
	// ran is the number of commands that were run.
	ran int
}

var (
	planLine = regexp.MustCompile(`(?m)^Plan (\w+), planned`)
	exitNote = regexp.MustCompile(` # exit (\d)$`)
)

// runBlock writes the intent file of a fenced block, or runs its commands and checks
// that the lines below each command occur in its output.
func (se *session) runBlock(info string, lines []string) {
	if name, isIntent := strings.CutPrefix(info, "hujson "); isIntent {
		if err := os.WriteFile(filepath.Join(se.dir, name), []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			se.t.Fatal(err)
		}
		return
	}
	for _, line := range lines {
		if text, isCommand := strings.CutPrefix(line, "$ filbertstall "); isCommand {
			se.command(text)
			continue
		}
		if !strings.Contains(se.printed, strings.ReplaceAll(line, "PLAN", se.plan)) {
			se.t.Errorf("output does not contain %q:\n%s", line, se.printed)
		}
	}
}

// command runs one command line of a page and checks its exit code, which is 0 unless
// a note such as "# exit 3" ends the line.
func (se *session) command(text string) {
	want := command.ExitDone
	if note := exitNote.FindStringSubmatch(text); note != nil {
		want, _ = strconv.Atoi(note[1])
		text = exitNote.ReplaceAllString(text, "")
	}
	words := strings.Fields(text)
	for ix, word := range words {
		if word == "PLAN" {
			words[ix] = se.plan
		}
		if strings.HasSuffix(word, ".hujson") {
			words[ix] = filepath.Join(se.dir, word)
		}
	}
	var code int
	code, se.printed = run(words...)
	se.ran++
	if code != want {
		se.t.Errorf("%s: exit code %d, want %d:\n%s", text, code, want, se.printed)
	}
	if found := planLine.FindStringSubmatch(se.printed); found != nil {
		se.plan = found[1]
	}
}

// forEachBlock calls do for each fenced block of a page, with its info string and
// lines.
func forEachBlock(page string, do func(info string, lines []string)) {
	var info string
	var lines []string
	open := false
	for _, line := range strings.Split(page, "\n") {
		fence, isFence := strings.CutPrefix(line, "```")
		switch {
		case isFence && !open:
			open, info, lines = true, fence, nil
		case isFence:
			open = false
			do(info, lines)
		case open:
			lines = append(lines, line)
		}
	}
}

// waitUntilReady waits until all three instances have the configuration in force and
// plans can be made.
func waitUntilReady(t *testing.T, dir string) {
	t.Helper()
	path := filepath.Join(dir, "probe.hujson")
	if err := os.WriteFile(path, []byte(`{"actions": [{"set_half": {"name": "probe"}}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		code, printed := run("status")
		if code == command.ExitDone && strings.Contains(printed, "in force on 3 of 3") {
			if code, _ := run("plan", path); code == command.ExitDone {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the instances are not ready after 100 attempts")
}

// TestOperatorPages runs the commands of the operators' documentation. It fails if a
// page no longer matches the program: a command ends with another exit code, or the
// lines shown below it do not occur in its output.
func TestOperatorPages(t *testing.T) {
	for _, name := range []string{"intents", "zones", "halves", "endpoints", "instances"} {
		t.Run(name, func(t *testing.T) {
			page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", name+".md"))
			if err != nil {
				t.Fatal(err)
			}
			t.Setenv("FILBERTSTALL_OPERATOR", startFleet(t))
			t.Setenv("FILBERTSTALL_TOKEN", operatorToken)
			se := &session{t: t, dir: t.TempDir()}
			waitUntilReady(t, se.dir)
			forEachBlock(string(page), se.runBlock)
			if se.ran < 3 {
				t.Errorf("page contains %d commands, want at least 3", se.ran)
			}
		})
	}
}

// TestRoles fails if a viewer can make, confirm or cancel a plan, or if a refused
// command has the wrong exit code or does not name the reason.
func TestRoles(t *testing.T) {
	t.Setenv("FILBERTSTALL_OPERATOR", startFleet(t))
	t.Setenv("FILBERTSTALL_TOKEN", operatorToken)
	dir := t.TempDir()
	waitUntilReady(t, dir)
	t.Setenv("FILBERTSTALL_TOKEN", "page-viewer")
	for _, ca := range []struct {
		line     []string
		want     int
		contains string
	}{
		{[]string{"status", "--output", "json"}, command.ExitDone, `"in_force"`},
		{[]string{"plan", filepath.Join(dir, "probe.hujson")}, command.ExitFailure, "role plan"},
		{[]string{"confirm", "x"}, command.ExitFailure, "role confirm"},
		{[]string{"cancel", "x"}, command.ExitFailure, "role confirm"},
		{[]string{"get", "pool"}, command.ExitFailure, "allowed are half, zone"},
		{[]string{"get"}, command.ExitUsage, "KIND"},
		{[]string{"completion", "bash"}, command.ExitDone, "complete -o default"},
		{[]string{"completion", "fish"}, command.ExitUsage, "allowed is bash"},
		{[]string{"status", "--token", "nobody"}, command.ExitFailure, "belongs to nobody"},
	} {
		code, printed := run(ca.line...)
		if code != ca.want || !strings.Contains(printed, ca.contains) {
			t.Errorf("%v: exit code %d, output %q", ca.line, code, printed)
		}
	}
}
