// Package settings holds a daemon's static settings: what it must know before
// it can reach anyone. Everything that may change while it runs is in the
// environment document instead.
package settings

import (
	"fmt"
	"os"
	"time"

	"hemlockknot/internal/state/strictyaml"
)

// Settings are a daemon's settings file.
type Settings struct {
	// Name is unique in the fleet.
	Name string `yaml:"name"`
	// Place and FailureDomain say where the daemon's host is.
	Place         string `yaml:"place"`
	FailureDomain string `yaml:"failure_domain"`
	// Environment is the environment object to serve.
	Environment string   `yaml:"environment"`
	Platform    Platform `yaml:"platform"`
	Listen      Listen   `yaml:"listen"`
	// AdvertisePeers is the address at which other daemons reach this one;
	// default: the peer listener's own address.
	AdvertisePeers string `yaml:"advertise_peers"`
	// AdvertiseOutside is the address for daemons of other failure domains;
	// default: the same.
	AdvertiseOutside string `yaml:"advertise_outside"`
	// BootstrapPeers are peer addresses to learn the fleet from.
	BootstrapPeers []string `yaml:"bootstrap_peers"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	Limits   Limits `yaml:"limits"`
	Claims   Claims `yaml:"claims"`
}

// Platform says how the platform's object API is reached.
type Platform struct {
	URL string `yaml:"url"`
}

// Listen holds the addresses of the daemon's listeners.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Limits bound what one caller can take.
type Limits struct {
	BodyBytes     int64         `yaml:"body_bytes"`
	HeaderBytes   int           `yaml:"header_bytes"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	BodyTimeout   time.Duration `yaml:"body_timeout"`
	WriteTimeout  time.Duration `yaml:"write_timeout"` // for each part of an answer
	StopTimeout   time.Duration `yaml:"stop_timeout"`  // of a graceful shutdown
	// StopDelay is how long a stopping daemon that is no longer ready still accepts
	// requests, so that the balancer can turn away from it.
	StopDelay time.Duration `yaml:"stop_delay"`
}

// Claims says how long claims of idempotency keys live. All daemons of an
// environment have the same.
type Claims struct {
	// StartLimit is how old a claim may be when its call starts.
	StartLimit time.Duration `yaml:"start_limit"`
	// Lifetime is how long a claim is kept; a repeat after that runs again.
	Lifetime time.Duration `yaml:"lifetime"`
}

// Default returns the settings that a file may leave out.
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

// Override replaces one value of the file, as a flag or an environment variable
// does. An empty value replaces nothing.
type Override struct {
	Origin string // what to name in an error, such as "flag --log-level"
	Path   []any  // of the value in the file
	Value  string
	Target func(*Settings) *string
}

// Load reads a settings file, applies the overrides and checks the whole. The
// error names everything that is wrong.
func Load(path string, overrides ...Override) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Default(), fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text, overrides...)
}

// Parse checks the text of a settings file with that name.
func Parse(name string, text []byte, overrides ...Override) (Settings, error) {
	settings := Default()
	source := strictyaml.Decode(name, text, &settings)
	for _, override := range overrides {
		if override.Value != "" {
			*override.Target(&settings) = override.Value
			source.Replace(override.Origin, override.Path...)
		}
	}
	if source.Readable() {
		settings.check(source)
	}
	return settings, source.Err()
}
