// Package settings holds a daemon's static settings: what it must know before
// it can reach anyone. Everything that may change while it runs is in the
// environment document instead.
package settings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
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
}

// Claims says how long claims of idempotency keys live. All daemons of an
// environment have the same.
type Claims struct {
	// StartLimit is how old a claim may be when its call starts.
	StartLimit time.Duration `yaml:"start_limit"`
	// Lifetime is how long a claim is kept; a repeat after that runs again.
	Lifetime time.Duration `yaml:"lifetime"`
}

// minClaimLife is the shortest Lifetime, in StartLimits: a paused daemon must
// find its claim too old long before another daemon finds it expired.
const minClaimLife = 10

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
		},
		Claims: Claims{StartLimit: time.Minute, Lifetime: 24 * time.Hour},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	settings := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, fmt.Errorf("read settings: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(text, &settings, yaml.Strict()); err != nil {
		return settings, fmt.Errorf("%s: %w", path, err)
	}
	return settings, settings.check()
}

func (s *Settings) check() error {
	var problems []error
	if s.Name == "" {
		problems = append(problems, errors.New("name: missing"))
	}
	if s.FailureDomain == "" {
		problems = append(problems, errors.New("failure_domain: missing"))
	}
	if s.Platform.URL == "" {
		problems = append(problems, errors.New("platform.url: missing"))
	}
	if s.Claims.StartLimit <= 0 {
		problems = append(problems, fmt.Errorf("claims.start_limit: %s; must be positive", s.Claims.StartLimit))
	}
	if s.Claims.Lifetime < minClaimLife*s.Claims.StartLimit {
		problems = append(problems, fmt.Errorf("claims.lifetime: %s; at least %d times start_limit", s.Claims.Lifetime, minClaimLife))
	}
	return errors.Join(problems...)
}
