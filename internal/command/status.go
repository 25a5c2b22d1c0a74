package command

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"filbertstall.example/filbertstall/internal/control"
	"filbertstall.example/filbertstall/internal/process"
)

// watchInterval is the interval at which status --watch prints.
const watchInterval = 2 * time.Second

// status is the command that prints the state of the fleet: its configuration,
// instances, zones, capacity and running plans.
type status struct {
	operatorAccess
	Watch bool `long:"watch" description:"Print again every two seconds until interrupted"`
}

// Execute implements flags.Commander.
func (st *status) Execute([]string) error {
	ctx, stop := process.UntilInterrupted()
	defer stop()
	for {
		var fs control.FleetStatus
		if err := st.call(http.MethodGet, "/fleet", nil, &fs); err != nil {
			return err
		}
		if err := st.print(fs); err != nil || !st.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

func (st *status) print(fs control.FleetStatus) error {
	if st.Output == "json" {
		return st.printJSON(fs)
	}
	st.printf("Configuration: %s\nPlatform: %s (as %s sees it)\n", fs.InForce, fs.Platform, fs.Instance)
	if len(fs.IsolatedZones) > 0 {
		st.printf("Cut off from %s in zone %s: %s\n", fs.Instance, fs.Zone, strings.Join(fs.IsolatedZones, ", "))
	}
	st.printf("\n")
	rows := make([][]string, 0, len(fs.Members))
	for _, me := range fs.Members {
		rows = append(rows, []string{me.Name, me.Zone, me.State, fmt.Sprint(me.Version), fmt.Sprint(me.InFlight), me.Note})
	}
	st.table([]string{"INSTANCE", "ZONE", "STATE", "VERSION", "IN FLIGHT", "NOTE"}, rows)
	st.printf("\n")
	rows = nil
	for _, zo := range fs.Zones {
		rows = append(rows, []string{zo.Name, zo.Region, orDash(zo.Half), string(zo.State)})
	}
	st.table([]string{"ZONE", "REGION", "HALF", "STATE"}, rows)
	st.printf("\n")
	st.printCapacity(fs.Capacity)
	for _, pl := range fs.Running {
		st.printf("\nPlan %s: %s\n", pl.ID, progress(pl))
	}
	return nil
}

// get is the command that prints the objects of a kind.
type get struct {
	operatorAccess
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"half, zone, team, service, endpoint or plan" required:"1"`
		Name string `positional-arg-name:"NAME" description:"One object's name"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (ge *get) Execute([]string) error {
	var list []map[string]any
	path := "/objects?kind=" + url.QueryEscape(ge.Args.Kind) + "&name=" + url.QueryEscape(ge.Args.Name)
	if err := ge.call(http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	if ge.Output == "json" || ge.Args.Name != "" {
		return ge.printJSON(list)
	}
	columns, known := getColumns[ge.Args.Kind]
	if !known {
		return ge.printJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, it := range list {
		row := make([]string, 0, len(columns))
		for _, column := range columns {
			text := ""
			if value, found := it[column]; found {
				text = fmt.Sprint(value)
			}
			row = append(row, orDash(text))
		}
		rows = append(rows, row)
	}
	ge.table(columns, rows)
	return nil
}

// getColumns holds the fields of each kind that get prints as table columns. Objects
// of other kinds are printed as JSON.
var getColumns = map[string][]string{
	"half":     {"name"},
	"zone":     {"name", "region", "half", "state"},
	"team":     {"name", "half", "weight", "role"},
	"service":  {"name", "half", "type", "model"},
	"endpoint": {"name", "service", "zone", "half", "state", "url"},
	"plan":     {"id", "state", "author", "made", "reason", "note"},
}

// explain is the command that prints the decisions about a request.
type explain struct {
	operatorAccess
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"The request's ID"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (ex *explain) Execute([]string) error {
	var answer any
	if err := ex.call(http.MethodGet, "/explain?request="+url.QueryEscape(ex.Args.Request), nil, &answer); err != nil {
		return err
	}
	return ex.printJSON(answer)
}
