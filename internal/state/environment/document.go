// Package environment holds the environment document: the one YAML document in
// which operators name an environment's places, services, engines and
// workspaces. A Document is checked when it is parsed and immutable afterwards.
package environment

import (
	"time"

	"hemlockknot/internal/state/strictyaml"
)

// Document is an environment as its operators write it.
type Document struct {
	Name       string      `yaml:"name"`
	Places     []Place     `yaml:"places"`
	Services   []Service   `yaml:"services"`
	Engines    []Engine    `yaml:"engines"`
	Workspaces []Workspace `yaml:"workspaces"`
	Classes    []Class     `yaml:"classes"`

	index index
}

// Place is a zone. All of a place lies in one failure domain.
type Place struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failure_domain"`
}

// Kind is how a service's targets are spoken to.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model" // chat completions with streams and caches
	KindPlain Kind = "plain" // HTTP calls routed by path
)

// Service is a back end: a set of engines that serve the same calls.
type Service struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Models are the model names that callers use; default: the service's name.
	Models []string `yaml:"models"`
	// Path is the prefix of a plain service's calls, such as "/ledger/".
	Path string `yaml:"path"`
	// LoadBound is the set multiple of the service's mean load that no engine
	// exceeds; default DefaultLoadBound.
	LoadBound float64 `yaml:"load_bound"`
	// QueueLength is how many requests wait for each engine at most.
	QueueLength int `yaml:"queue_length"`
	// Repeatable lists the calls that are idempotent. All others run at most
	// once. Model streams are resumed, so they are repeatable by nature.
	Repeatable []CallPattern `yaml:"repeatable"`
}

// CallPattern names calls of a plain service.
type CallPattern struct {
	Method string `yaml:"method"`
	// Path is the exact path, or a prefix if it ends in "*".
	Path string `yaml:"path"`
}

// Engine is a machine that runs a service's work.
type Engine struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Place   string `yaml:"place"`
	// Address is host:port of the engine's HTTP interface.
	Address string `yaml:"address"`
	// OutsideAddress is the address for daemons of other failure domains;
	// default: Address.
	OutsideAddress string `yaml:"outside_address"`
	// Capacity is how many requests the engine runs at once.
	Capacity int `yaml:"capacity"`
	// ChecksFencing says whether the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool `yaml:"checks_fencing"`
}

// Workspace is a customer.
type Workspace struct {
	Name string `yaml:"name"`
	// Share is the workspace's weight when capacity is short; default 1.
	Share float64 `yaml:"share"`
	// MaxInFlight limits the workspace's requests at each service; 0: none.
	MaxInFlight int `yaml:"max_in_flight"`
	// Class is the class of its requests that name none; default: the first.
	Class string `yaml:"class"`
	// KeysSHA256 are the SHA-256 digests, in hex, of its bearer keys.
	KeysSHA256 []string `yaml:"keys_sha256"`
}

// Class is a kind of request by urgency.
type Class struct {
	Name string `yaml:"name"`
	// Priority orders waiting requests; larger is more urgent.
	Priority int32 `yaml:"priority"`
	// Deadline is how long a request may wait for its start, such as "2s".
	Deadline Duration `yaml:"deadline"`
}

// Defaults of values that a document may leave out.
const (
	DefaultLoadBound   = 1.25
	DefaultQueueLength = 8
	DefaultShare       = 1.0
	DefaultDeadline    = 10 * time.Second
)

// MaxBytes is the size of the largest document: the platform holds values up
// to a megabyte.
const MaxBytes = 1 << 20

// Duration is a time.Duration that YAML writes as "2s".
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

// AllowedText describes the texts of a Duration for errors.
func (*Duration) AllowedText() string { return strictyaml.AllowedDuration }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
