// Package platform is a client of the platform's object API. The API follows
// the conventions of the Kubernetes API: objects with a resourceVersion that
// makes updates conditional, and watches that stream changes as JSON lines.
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

// Group is the path under which the system's objects are kept.
const Group = "/apis/hemlockknot.dev/v1"

// Kinds of objects.
const (
	KindEnvironments = "environments"
	KindHosts        = "hosts" // live and leaving targets; written by the platform
	KindClaims       = "claims"
	KindLeases       = "leases"
)

// Limits of calls.
const (
	callTimeout   = 3 * time.Second
	listTimeout   = 8 * time.Second
	maxReplyBytes = 4 << 20
	// WatchTimeout is how long one watch call waits at the server. It bounds how
	// long a watch that has silently died goes unnoticed.
	WatchTimeout = 5 * time.Second
	watchGrace   = 3 * time.Second
)

// Errors of calls. Every other error means that the platform is away and that a
// write may have taken effect.
var (
	ErrNotFound = errors.New("object not found")
	ErrConflict = errors.New("object has changed meanwhile")
	// ErrRejected says that the platform takes no such call; it had no effect.
	ErrRejected = errors.New("rejected by the platform")
	// ErrVersionExpired says that a watch must start again from a read.
	ErrVersionExpired = errors.New("resource version expired")
)

// Object is one object. Spec is in the form that the object's kind gives it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata is what the platform keeps of an object.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion changes with every write; updates are conditional on it.
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Generation rises by one with every change of the spec.
	Generation uint64 `json:"generation,omitempty"`
}

// EnvironmentSpec is the spec of an environment object.
type EnvironmentSpec struct {
	Document string `json:"document"` // YAML
	// Revision says who wrote this version; it is empty if not an operator's tool.
	Revision Revision `json:"revision,omitzero"`
	// Earlier are the revisions before, the latest first.
	Earlier []Revision `json:"earlier,omitempty"`
}

// Revision is where a version of an environment comes from.
type Revision struct {
	Generation uint64 `json:"generation"`
	// Attempt is unique to the write, so that its writer can find out whether a
	// write took effect whose answer was lost.
	Attempt string    `json:"attempt"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	// PromotedFrom is the environment that the document was copied from, at
	// PromotedGeneration; empty if it came from a file.
	PromotedFrom       string `json:"promoted_from,omitempty"`
	PromotedGeneration uint64 `json:"promoted_generation,omitempty"`
}

// HostLeaving is the state of a host that takes no new work.
const HostLeaving = "leaving"

// HostSpec is the spec of a host object.
type HostSpec struct {
	State string `json:"state"` // "live" or HostLeaving
}

// Types of events that are handled.
const (
	EventAdded   = "ADDED"
	EventDeleted = "DELETED"
)

// Event is a change that a watch reports.
type Event struct {
	Type   string `json:"type"` // ADDED, MODIFIED, DELETED or ERROR
	Object Object `json:"object"`
}

// List is the reply to a list call.
type List struct {
	Metadata Metadata `json:"metadata"` // only the ResourceVersion is set
	Items    []Object `json:"items"`
}

// CallCounter counts calls by operation.
type CallCounter interface {
	PlatformCall(operation string)
}

// Client calls the object API.
type Client struct {
	base    string
	http    *http.Client
	counter CallCounter
}

// NewClient returns a client of the API at base, such as "http://host:port".
func NewClient(base string, counter CallCounter) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, counter: counter}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (*Object, error) {
	return call[Object](ctx, c, "get", http.MethodGet, objectPath(kind, name), nil)
}

// List reads all objects of a kind. It waits longer than other calls: it is the
// large one, and a slow platform is better than none.
func (c *Client) List(ctx context.Context, kind string) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return callWithin[List](ctx, c, "list", http.MethodGet, objectPath(kind, ""), nil)
}

// WatchFrom returns the version to watch from after a list. It is that of the
// newest item, not that of the list: a stale replica may return old items under
// a new list version, and a watch from there would miss the change between.
func (l *List) WatchFrom() string {
	newest := uint64(0)
	for _, item := range l.Items {
		newest = max(newest, item.Metadata.Version())
	}
	return strconv.FormatUint(newest, 10)
}

// Version returns the resource version as a number, 0 if it is none.
func (m Metadata) Version() uint64 {
	version, err := strconv.ParseUint(m.ResourceVersion, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// Create makes a new object; ErrConflict says that the name is taken.
func (c *Client) Create(ctx context.Context, kind string, object *Object) (*Object, error) {
	return call[Object](ctx, c, "create", http.MethodPost, objectPath(kind, ""), object)
}

// Update replaces an object if its ResourceVersion is still the given one.
func (c *Client) Update(ctx context.Context, kind string, object *Object) (*Object, error) {
	return call[Object](ctx, c, "update", http.MethodPut, objectPath(kind, object.Metadata.Name), object)
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, kind, name string) error {
	_, err := call[Object](ctx, c, "delete", http.MethodDelete, objectPath(kind, name), nil)
	return err
}

func objectPath(kind, name string) string {
	path := Group + "/" + kind
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

func call[T any](ctx context.Context, c *Client, operation, method, path string, body any) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callWithin[T](ctx, c, operation, method, path, body)
}

func callWithin[T any](ctx context.Context, c *Client, operation, method, path string, body any) (*T, error) {
	response, err := c.do(ctx, operation, method, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	reply := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return nil, fmt.Errorf("platform %s %s: decode reply: %w", operation, path, err)
	}
	return reply, nil
}

func (c *Client) do(ctx context.Context, operation, method, path string, body any) (*http.Response, error) {
	c.counter.PlatformCall(operation)
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("platform %s %s: encode: %w", operation, path, err)
		}
		// The reader's type is hidden, so that net/http cannot resend a write.
		reader = io.MultiReader(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", operation, path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", operation, path, err)
	}
	if err := statusError(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, fmt.Errorf("platform %s %s: %w", operation, path, err)
	}
	return response, nil
}

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

// Watch reports the changes of a kind after a resource version to handle, until
// the server ends the watch, which it does every WatchTimeout, or an error. It
// returns the last resource version seen.
func (c *Client) Watch(ctx context.Context, kind, version string, handle func(Event)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchGrace)
	defer cancel()
	query := url.Values{
		"watch":           {"true"},
		"resourceVersion": {version},
		"timeoutSeconds":  {fmt.Sprint(int(WatchTimeout / time.Second))},
	}
	response, err := c.do(ctx, "watch", http.MethodGet, objectPath(kind, "")+"?"+query.Encode(), nil)
	if err != nil {
		return version, err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var event Event
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			return version, nil
		} else if err != nil {
			return version, fmt.Errorf("platform watch %s: %w", kind, err)
		}
		if event.Type == "ERROR" {
			return version, fmt.Errorf("platform watch %s: %w", kind, ErrVersionExpired)
		}
		version = event.Object.Metadata.ResourceVersion
		handle(event)
	}
}
