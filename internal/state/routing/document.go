// Package routing holds the configuration in force: which service answers which
// path, for which workspaces, within which limits. A Document is never changed
// once it is built.
package routing

import "time"

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // at most once for each client attempt
	Stream                    // a stream of events; NonIdempotent unless resumable
)

// Document is one version of the configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time a request is kept waiting
	Objective   time.Duration // latency within which an answer is worth most
	PauseLimit  time.Duration // longest pause in a stream that is on time; 0: none
	MaxAttempts int           // targets to which one request may be sent
	Priority    int           // 0 is the most urgent
	Anonymous   bool          // no key is needed
	Sticky      bool          // requests carry prompt parts
	Resumable   bool          // an interrupted stream may go on at another target
	Shares      []Share
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // that one target accepts from all callers together
	Slots      int // requests that one engine runs at once; 0 for plain services
}

// Workspace is a customer of the system.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int  // takes the place of the route's
	Ranked   bool // Priority is set
}

// Limits bound what a client may send, and how slowly.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
