// Package environment defines the environment document: the YAML document in
// which operators list an environment's places, services, engines, workspaces
// and classes. A Document is validated when it is parsed and is immutable
// afterwards.
package environment

import (
	"time"

	"hemlockknot/internal/state/strictyaml"
)

// Document is the configuration of an environment.
type Document struct {
	Name       string      `yaml:"name"`
	Places     []Place     `yaml:"places"`
	Services   []Service   `yaml:"services"`
	Engines    []Engine    `yaml:"engines"`
	Workspaces []Workspace `yaml:"workspaces"`
	Classes    []Class     `yaml:"classes"`

	index index
}

// Place is a zone. Each place belongs to one failure domain.
type Place struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failure_domain"`
	// Evacuated asks that the place's engines get no new requests.
	Evacuated bool `yaml:"evacuated"`
}

// Kind is the type of API that the engines of a service have.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model" // chat completions, with streaming and context caches
	KindPlain Kind = "plain" // HTTP calls that are routed by path
)

// Service is a back end: a set of engines that serve the same calls.
type Service struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Models are the names by which callers request the service's models;
	// default: the service's name.
	Models []string `yaml:"models"`
	// Path is the path prefix of a plain service's calls, such as "/ledger/".
	Path string `yaml:"path"`
	// LoadBound limits each engine's load to this multiple of the service's mean
	// load; default DefaultLoadBound.
	LoadBound float64 `yaml:"load_bound"`
	// QueueLength is the maximum number of requests that wait for an engine;
	// default DefaultQueueLength.
	QueueLength int `yaml:"queue_length"`
	// Repeatable lists the idempotent calls of a plain service. Its other calls
	// run at most once. Streams of a model service are repeatable without an
	// entry, as an interrupted stream is resumed.
	Repeatable []CallPattern `yaml:"repeatable"`
}

// CallPattern matches calls of a plain service.
type CallPattern struct {
	Method string `yaml:"method"`
	// Path is an exact path, or a prefix followed by "*".
	Path string `yaml:"path"`
}

// Engine is a machine that runs the requests of a service.
type Engine struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Place   string `yaml:"place"`
	// Address is the host:port of the engine's HTTP API.
	Address string `yaml:"address"`
	// OutsideAddress is the address that daemons in other failure domains use;
	// default: Address.
	OutsideAddress string `yaml:"outside_address"`
	// Capacity is the number of requests that the engine runs concurrently.
	Capacity int `yaml:"capacity"`
	// ChecksFencing reports whether the engine rejects commands that have a stale
	// fencing token.
	ChecksFencing bool `yaml:"checks_fencing"`
}

// Workspace is a customer with its limits and keys.
type Workspace struct {
	Name string `yaml:"name"`
	// Share is the workspace's weight in fair sharing when capacity is short;
	// default 1.
	Share float64 `yaml:"share"`
	// MaxInFlight limits the workspace's concurrent requests to each service;
	// 0: no limit.
	MaxInFlight int `yaml:"max_in_flight"`
	// Class is the class of the workspace's requests that have no class of their
	// own; default: the document's first class.
	Class string `yaml:"class"`
	// KeysSHA256 are the SHA-256 digests of the workspace's bearer keys, in hex.
	KeysSHA256 []string `yaml:"keys_sha256"`
}

// Class is a priority class of requests.
type Class struct {
	Name string `yaml:"name"`
	// Priority orders waiting requests; those with the larger value go first.
	Priority int32 `yaml:"priority"`
	// Deadline is the maximum time from a request's arrival to its start, such as
	// "2s"; default DefaultDeadline.
	Deadline Duration `yaml:"deadline"`
}

// Defaults of optional values.
const (
	DefaultLoadBound   = 1.25
	DefaultQueueLength = 8
	DefaultShare       = 1.0
	DefaultDeadline    = 10 * time.Second
)

// MaxBytes is the maximum size of a document: the platform stores values of up
// to a megabyte.
const MaxBytes = 1 << 20

// Duration is a time.Duration that is written as a string such as "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// AllowedText describes the format of a Duration in error messages.
func (*Duration) AllowedText() string { return strictyaml.DurationFormat }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
