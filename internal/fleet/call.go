package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// SetFault sets the fault mode of the stand-in at url for a duration in the format
// of time.ParseDuration. With an empty duration, the fault lasts until the next
// call.
func SetFault(ctx context.Context, url, mode, lasts string) error {
	data, err := json.Marshal(map[string]string{"mode": mode, "for": lasts})
	if err != nil {
		return err
	}
	return post(ctx, url+"/standin/faults", data)
}

func post(ctx context.Context, url string, data []byte) error {
	return exchange(ctx, http.MethodPost, url, data)
}

func get(ctx context.Context, url string) error { return exchange(ctx, http.MethodGet, url, nil) }

func exchange(ctx context.Context, method, url string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, url, resp.Status)
	}
	return nil
}
