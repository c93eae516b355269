// Package routing defines the active routing configuration: the service for each
// host and path, the workspaces that may send requests, and the limits of requests.
// A Document is immutable once it is built.
package routing

import "time"

// Kind determines whether the requests of a route may be retried after they were
// sent to a target.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota // a request may run more than once
	NonIdempotent             // a request runs at most once for each attempt of the client
	Stream                    // the answer is an event stream; non-idempotent unless the route is resumable
)

// Document is one version of the configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
}

// Route assigns the requests with a host and a path prefix to services.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // maximum duration of a request
	LatencyObjective time.Duration // latency that an answer should not exceed
	PauseObjective   time.Duration // gap between parts of a stream that should not be exceeded; 0: none
	MaxAttempts      int           // maximum number of targets to which a request is sent
	Priority         int           // 0 is the most urgent
	Anonymous        bool          // requests need no key
	Sticky           bool          // requests contain prompt parts
	Resumable        bool          // another target can continue an interrupted stream
	ServiceWeights   []ServiceWeight
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceWeight is the relative weight of a service among the services of a route.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // connections that one target accepts from all callers together
	Slots      int // maximum number of concurrent requests of one engine; 0 for plain services
	// ColdFor is how long a target is cold after a start during traffic; 0: not at all.
	ColdFor  time.Duration
	ColdPerS float64 // requests per second that a cold target takes; 0: no limit
}

// Workspace is a customer of the system.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int  // overrides the priority of the route
	HasPriority bool // Priority is set
}

// Limits bound the size of a client's requests and the time to receive them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
