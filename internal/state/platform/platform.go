// Package platform is a client of the platform's object API. The API follows
// the conventions of the Kubernetes API: an object's resourceVersion makes updates
// conditional, and a watch streams changes as JSON lines.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// BasePath is the path prefix of the system's objects in the API.
const BasePath = "/apis/hemlockknot.dev/v1"

// Kinds of objects.
const (
	KindEnvironments = "environments"
	KindHosts        = "hosts"  // hosts of engines, live or leaving; written by the platform
	KindClaims       = "claims" // shards of the ledger of idempotency keys
	KindLeases       = "leases"
)

// Limits of API calls.
const (
	callTimeout      = 3 * time.Second
	listTimeout      = 8 * time.Second
	maxResponseBytes = 4 << 20
	// WatchTimeout is the time after which the server ends a watch. It bounds the
	// time until the client notices a connection that is dead without an error.
	WatchTimeout = 5 * time.Second
	// watchTimeoutMargin is added to WatchTimeout for the client's own timeout.
	watchTimeoutMargin = 3 * time.Second
)

// Errors of API calls. Any other error means that the platform is unavailable and
// that a write may have taken effect.
var (
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object to update has another resource version, or
	// that the object to create exists. The call had no effect.
	ErrConflict = errors.New("object was modified or already exists")
	// ErrRejected means that the platform considers the call invalid or forbidden.
	// The call had no effect.
	ErrRejected = errors.New("rejected by the platform")
	// ErrVersionExpired means that the caller must list the objects again before
	// the next watch.
	ErrVersionExpired = errors.New("resource version expired")
)

// Object is an object of the API. Its kind determines the type of Spec.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata is the part of an object that all kinds have in common.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion changes with every write. Updates are conditional on it.
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Generation is incremented by every change of the spec.
	Generation uint64 `json:"generation,omitempty"`
}

// EnvironmentSpec is the spec of an environment object.
type EnvironmentSpec struct {
	Document string `json:"document"` // YAML
	// Revision is the origin of this version. It is empty if the version was not
	// written by an operator's tool.
	Revision Revision `json:"revision,omitzero"`
	// Earlier lists the revisions of the previous versions, newest first.
	Earlier []Revision `json:"earlier,omitempty"`
}

// Revision records who wrote a version of an environment, when, and from which
// source.
type Revision struct {
	Generation uint64 `json:"generation"`
	// Attempt is a unique id of the write. If the answer to the write is lost, the
	// writer looks for the id to find out whether the write took effect.
	Attempt string    `json:"attempt"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	// PromotedFrom is the environment from which the document was copied, at
	// PromotedGeneration; empty if the document came from a file.
	PromotedFrom       string `json:"promoted_from,omitempty"`
	PromotedGeneration uint64 `json:"promoted_generation,omitempty"`
}

// HostLeaving is the state of a host that accepts no new requests.
const HostLeaving = "leaving"

// HostSpec is the spec of a host object. The object has the name of the engine on
// the host.
type HostSpec struct {
	State string `json:"state"` // "live" or HostLeaving
}

// Types of watch events that callers handle.
const (
	EventAdded   = "ADDED"
	EventDeleted = "DELETED"
)

// Event is a change of an object, as reported by a watch.
type Event struct {
	Type   string `json:"type"` // ADDED, MODIFIED, DELETED or ERROR
	Object Object `json:"object"`
}

// List is the response to a list call.
type List struct {
	Metadata Metadata `json:"metadata"` // only the ResourceVersion is set
	Items    []Object `json:"items"`
}

// CallCounter counts API calls by operation.
type CallCounter interface {
	// CountPlatformCall is called before each API call.
	CountPlatformCall(operation string)
}

// Client calls the object API.
type Client struct {
	baseURL    string
	httpClient *http.Client
	counter    CallCounter
}

// NewClient returns a client of the API at baseURL, such as "http://host:port".
func NewClient(baseURL string, counter CallCounter) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		// Without a limit of ours, net/http reads 10 MB for each header.
		MaxResponseHeaderBytes: 64 << 10,
	}
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: transport}, counter: counter}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (*Object, error) {
	return callWithTimeout[Object](ctx, c, "get", http.MethodGet, objectPath(kind, name), nil)
}

// List reads all objects of a kind. Its timeout is longer than that of other calls,
// as its response is the largest and a late response is better than none.
func (c *Client) List(ctx context.Context, kind string) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return callJSON[List](ctx, c, "list", http.MethodGet, objectPath(kind, ""), nil)
}

// WatchVersion returns the resource version at which a watch after the list starts.
// This is the version of the newest item, not that of the list: a stale replica may
// return old items with a new list version, and a watch from that version would
// miss the changes in between.
func (l *List) WatchVersion() string {
	newest := uint64(0)
	for _, item := range l.Items {
		newest = max(newest, item.Metadata.VersionNumber())
	}
	return strconv.FormatUint(newest, 10)
}

// VersionNumber returns the resource version as a number, or 0 if it is not a number.
func (m Metadata) VersionNumber() uint64 {
	version, err := strconv.ParseUint(m.ResourceVersion, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// Create creates an object. The error is ErrConflict if the name is in use.
func (c *Client) Create(ctx context.Context, kind string, object *Object) (*Object, error) {
	return callWithTimeout[Object](ctx, c, "create", http.MethodPost, objectPath(kind, ""), object)
}

// Update replaces an object if its resource version is still that of the argument.
// Otherwise the error is ErrConflict.
func (c *Client) Update(ctx context.Context, kind string, object *Object) (*Object, error) {
	return callWithTimeout[Object](ctx, c, "update", http.MethodPut, objectPath(kind, object.Metadata.Name), object)
}

// Delete deletes an object.
func (c *Client) Delete(ctx context.Context, kind, name string) error {
	_, err := callWithTimeout[Object](ctx, c, "delete", http.MethodDelete, objectPath(kind, name), nil)
	return err
}

func objectPath(kind, name string) string {
	path := BasePath + "/" + kind
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// callWithTimeout is callJSON with the default timeout.
func callWithTimeout[T any](ctx context.Context, c *Client, operation, method, path string, body any) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callJSON[T](ctx, c, operation, method, path, body)
}

// callJSON calls the API and decodes its JSON response.
func callJSON[T any](ctx context.Context, c *Client, operation, method, path string, body any) (*T, error) {
	response, err := c.send(ctx, operation, method, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	result := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return nil, fmt.Errorf("platform %s %s: decode response: %w", operation, path, err)
	}
	return result, nil
}

// send calls the API and returns the response if its status is a success. The
// caller must close its body.
func (c *Client) send(ctx context.Context, operation, method, path string, body any) (*http.Response, error) {
	c.counter.CountPlatformCall(operation)
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("platform %s %s: encode request: %w", operation, path, err)
		}
		// net/http may resend a request on a new connection if it can rewind the
		// body. It does not know how to rewind a MultiReader, so that it sends
		// each write only once.
		reader = io.MultiReader(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", operation, path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", operation, path, err)
	}
	if err := statusError(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, fmt.Errorf("platform %s %s: %w", operation, path, err)
	}
	return response, nil
}

// statusError returns the error for an HTTP status, or nil for a success.
func statusError(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrVersionExpired
	case status == http.StatusBadRequest || status == http.StatusForbidden ||
		status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	case status < 200 || status > 299:
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// Watch calls handle with each change of a kind that follows a resource version.
// It returns when the server ends the watch, which is after WatchTimeout, or on an
// error. The result is the resource version of the last change, from which the next
// watch can start.
func (c *Client) Watch(ctx context.Context, kind, resourceVersion string, handle func(Event)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchTimeoutMargin)
	defer cancel()
	query := url.Values{
		"watch":           {"true"},
		"resourceVersion": {resourceVersion},
		"timeoutSeconds":  {fmt.Sprint(int(WatchTimeout / time.Second))},
	}
	response, err := c.send(ctx, "watch", http.MethodGet, objectPath(kind, "")+"?"+query.Encode(), nil)
	if err != nil {
		return resourceVersion, err
	}
	defer func() { _ = response.Body.Close() }()
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.N = maxResponseBytes // of each event: the decoder keeps one until it is complete
		var event Event
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			return resourceVersion, nil
		} else if err != nil {
			return resourceVersion, fmt.Errorf("platform watch %s: %w", kind, err)
		}
		if event.Type == "ERROR" {
			return resourceVersion, fmt.Errorf("platform watch %s: %w", kind, ErrVersionExpired)
		}
		resourceVersion = event.Object.Metadata.ResourceVersion
		handle(event)
	}
}
