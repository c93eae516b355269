// Package settings defines a daemon's static settings: the values that it needs
// before it can connect to the platform or to its peers. Configuration that may
// change at run time is in the environment document.
package settings

import (
	"fmt"
	"os"
	"time"

	"hemlockknot/internal/state/strictyaml"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	// Name identifies the daemon and is unique in the fleet.
	Name string `yaml:"name"`
	// Place and FailureDomain are the location of the daemon's host.
	Place         string `yaml:"place"`
	FailureDomain string `yaml:"failure_domain"`
	// Environment is the name of the environment object that the daemon serves.
	Environment string   `yaml:"environment"`
	Platform    Platform `yaml:"platform"`
	Listen      Listen   `yaml:"listen"`
	// AdvertisePeers is the address at which other daemons connect to this one;
	// default: the address of the peer listener.
	AdvertisePeers string `yaml:"advertise_peers"`
	// AdvertiseOutside is the address that daemons in other failure domains use;
	// default: AdvertisePeers.
	AdvertiseOutside string `yaml:"advertise_outside"`
	// BootstrapPeers are addresses of peers from which the daemon gets the list of
	// the fleet's members.
	BootstrapPeers []string `yaml:"bootstrap_peers"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `yaml:"log_level"`
	Limits   Limits `yaml:"limits"`
	Claims   Claims `yaml:"claims"`
}

// Platform is the location of the platform's object API.
type Platform struct {
	URL string `yaml:"url"`
}

// Listen holds the addresses of the daemon's listeners.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Limits bound the resources that one caller can use, and the time of a shutdown.
type Limits struct {
	BodyBytes     int64         `yaml:"body_bytes"`
	HeaderBytes   int           `yaml:"header_bytes"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	BodyTimeout   time.Duration `yaml:"body_timeout"`
	WriteTimeout  time.Duration `yaml:"write_timeout"` // for each part of an answer
	StopTimeout   time.Duration `yaml:"stop_timeout"`  // for a graceful shutdown
	// StopDelay is the time during which a stopping daemon accepts requests although
	// it reports that it is not ready, so that the load balancer can remove it.
	StopDelay time.Duration `yaml:"stop_delay"`
	// MemoryMB is the memory of the host, in MiB; 0: that of GOMEMLIMIT, or else DefaultMemoryMB.
	MemoryMB int `yaml:"memory_mb"`
	// Connections limits those of callers, and UnfinishedHeads those of them that have not sent a
	// whole head; 0: derived from the descriptors that the process may open.
	Connections     int `yaml:"connections"`
	UnfinishedHeads int `yaml:"unfinished_heads"`
	// PeerConnections limits those of other daemons; 0: derived likewise.
	PeerConnections int `yaml:"peer_connections"`
}

// DefaultMemoryMB is the memory for which a daemon limits its callers if nothing names the host's.
const DefaultMemoryMB = 512

// Claims holds the limits of the age of claims of idempotency keys. They must be
// the same at all daemons of an environment.
type Claims struct {
	// StartLimit is the maximum age of a claim at the start of its call.
	StartLimit time.Duration `yaml:"start_limit"`
	// Lifetime is the time after which a claim is removed. A call that is repeated
	// after this time runs again.
	Lifetime time.Duration `yaml:"lifetime"`
}

// Default returns the defaults of the optional settings.
func Default() Settings {
	return Settings{
		Environment: "production",
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Operators: "127.0.0.1:8081",
			Peers:     "127.0.0.1:8082",
		},
		LogLevel: "info",
		Limits: Limits{
			BodyBytes:     1 << 20,
			HeaderBytes:   32 << 10,
			HeaderTimeout: 5 * time.Second,
			BodyTimeout:   15 * time.Second,
			WriteTimeout:  15 * time.Second,
			StopTimeout:   10 * time.Minute,
			StopDelay:     2 * time.Second,
		},
		Claims: Claims{StartLimit: time.Minute, Lifetime: 24 * time.Hour},
	}
}

// Override replaces one value of the file by that of a flag or an environment
// variable. An empty value replaces nothing.
type Override struct {
	Origin string // source of the value in errors, such as "flag --log-level"
	Path   []any  // path of the value in the file
	Value  string
	Field  func(*Settings) *string // returns the field to replace
}

// Load reads a settings file, applies the overrides and validates the result. The
// error lists all problems.
func Load(path string, overrides ...Override) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Default(), fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text, overrides...)
}

// Parse is Load for the text of a settings file. Errors contain the file's name.
func Parse(name string, text []byte, overrides ...Override) (Settings, error) {
	settings := Default()
	source := strictyaml.Decode(name, text, &settings)
	for _, override := range overrides {
		if override.Value != "" {
			*override.Field(&settings) = override.Value
			source.SetOrigin(override.Origin, override.Path...)
		}
	}
	if source.IsMapping() {
		settings.check(source)
	}
	return settings, source.Err()
}
