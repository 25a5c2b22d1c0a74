package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"filbertstall.example/filbertstall/internal/plan"
)

func (ou output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(ou.out, format, args...)
}

// table prints rows in aligned columns below a heading.
func (ou output) table(heading []string, rows [][]string) {
	tw := tabwriter.NewWriter(ou.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "  "+strings.Join(heading, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(tw, "  "+strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

func (ou output) printPlan(pl plan.Plan) {
	ou.printf("Plan %s, %s, on configuration version %d\n", pl.ID, pl.State, pl.Base.Version)
	if pl.Reason != "" {
		ou.printf("Reason: %s\n", pl.Reason)
	}
	if pl.Note != "" {
		ou.printf("Note: %s\n", pl.Note)
	}
	for ix, st := range pl.Steps {
		ou.printf("\nStep %d: %s\n", ix+1, st.Title)
		for _, ch := range st.Changes {
			ou.printf("  %s\n", describeChange(ch))
		}
		if ix == 0 || !slices.Equal(st.Capacity, pl.Steps[ix-1].Capacity) {
			ou.printCapacity(st.Capacity)
		}
	}
	ou.printf("\nNothing has changed yet. To apply exactly this: filbertstall confirm %s\n", pl.ID)
}

func (ou output) printCapacity(list []plan.Capacity) {
	rows := make([][]string, 0, len(list))
	for _, ca := range list {
		rows = append(rows, []string{
			ca.Service, ca.Zone, orDash(ca.Half), fmt.Sprint(ca.Endpoints), fmt.Sprint(ca.Sequences), fmt.Sprint(ca.MemoryTokens),
		})
	}
	ou.table([]string{"SERVICE", "ZONE", "HALF", "ENDPOINTS", "SEQUENCES", "MEMORY TOKENS"}, rows)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (ou output) printChanges(heading string, list []plan.Change) {
	if len(list) == 0 {
		return
	}
	ou.printf("%s\n", heading)
	for _, ch := range list {
		ou.printf("  %s\n", describeChange(ch))
	}
}

// describeChange formats a change with the old and new values of its fields, for
// example: zone/suseong: state "serving" -> "out".
func describeChange(ch plan.Change) string {
	switch {
	case ch.Before == nil:
		return ch.Object() + ": added " + string(ch.After)
	case ch.After == nil:
		return ch.Object() + ": removed"
	}
	var before, after map[string]json.RawMessage
	if json.Unmarshal(ch.Before, &before) != nil || json.Unmarshal(ch.After, &after) != nil {
		return ch.Object() + ": changed"
	}
	var parts []string
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(before[name], after[name]) {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", name, orDash(string(before[name])), orDash(string(after[name]))))
		}
	}
	return ch.Object() + ": " + strings.Join(parts, ", ")
}

// progress formats the current step of a plan as one line.
func progress(pl plan.Plan) string {
	ix := pl.Current()
	if ix >= len(pl.Steps) {
		return "finishing"
	}
	st := pl.Steps[ix]
	line := fmt.Sprintf("step %d of %d: %s", ix+1, len(pl.Steps), st.Title)
	if st.Note != "" {
		line += ": " + st.Note
	}
	return line
}
