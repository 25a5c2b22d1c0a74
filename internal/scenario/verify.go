package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/internal/standin"
	"filbertstall.example/filbertstall/pkg/client"
)

// fetchCalls returns the calls that a stand-in has started, from its record.
func fetchCalls(ctx context.Context, url string) ([]standin.Call, error) {
	var list []standin.Call
	err := getJSON(ctx, url+"/standin/calls", &list)
	return list, err
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// compareBookings compares the outcomes that callers received with the bookings
// that endpoints executed.
func compareBookings(ctx context.Context, fl *fleet.Fleet, tr *traffic) error {
	begun := make(map[string]int)
	for _, en := range fl.Report.Endpoints {
		if en.Service != "rental-desk" {
			continue
		}
		list, err := fetchCalls(ctx, en.URL)
		if err != nil {
			return err
		}
		for _, ca := range list {
			begun[ca.Key]++
		}
	}
	for _, bo := range tr.bookings {
		count := begun[bo.key]
		if count > 1 {
			tr.re.Doubled++
		}
		if count > 0 && bo.outcome == client.NotRun {
			tr.re.FalseNotRun++
		}
		if count == 0 && bo.outcome == answered {
			tr.re.LostBookings++
		}
	}
	return nil
}

// countStarts returns the number of generations and calls that a stand-in started
// after from and before until. Resuming a generation that already runs there does
// not count as a start.
func countStarts(ctx context.Context, url string, from, until time.Time) (int, error) {
	list, err := fetchCalls(ctx, url)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, ca := range list {
		at, err := time.Parse(time.RFC3339Nano, ca.At)
		if err != nil {
			return 0, err
		}
		if at.After(from) && at.Before(until) && !strings.HasPrefix(ca.Path, "/v1/generations/") {
			count++
		}
	}
	return count, nil
}

func formatCount(count int, what string) string { return fmt.Sprintf("%d %s", count, what) }
