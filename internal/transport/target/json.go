package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxReportBytes is the size of the largest JSON report of an engine.
const maxReportBytes = 1 << 20

// getJSON fetches and decodes a JSON report of an engine, such as its load.
func getJSON[T any](ctx context.Context, client *http.Client, address, path string) (*T, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request to %s: %w", address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("get %s from %s: %w", path, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get %s from %s: %w %d", path, address, errStatus, response.StatusCode)
	}
	report := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(report); err != nil {
		return nil, fmt.Errorf("decode %s from %s: %w", path, address, err)
	}
	return report, nil
}
