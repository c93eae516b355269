package settings

import (
	"fmt"
	"net/url"
	"time"

	"hemlockknot/internal/state/address"
	"hemlockknot/internal/state/strictyaml"
)

// Allowed ranges of the limits.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxStopTimeout = 24 * time.Hour
	minMemoryMB    = 16
	maxMemoryMB    = 1 << 20
	maxConns       = 1 << 20 // more descriptors than a process may have
)

// check validates the settings and reports all problems to source.
func (s *Settings) check(source *strictyaml.Source) {
	s.checkNames(source)
	s.checkAddresses(source)
	s.checkLimits(source)
	s.checkClaims(source)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		source.ReportInvalid(s.LogLevel, "debug, info, warn or error", "log_level")
	}
}

func (s *Settings) checkNames(source *strictyaml.Source) {
	required := []struct {
		value, key, allowed string
	}{
		{s.Name, "name", "a name that is unique in the fleet"},
		{s.FailureDomain, "failure_domain", "the failure domain of the daemon's host"},
		{s.Environment, "environment", "the name of an environment object"},
	}
	for _, field := range required {
		if field.value == "" {
			source.ReportMissing(field.allowed, field.key)
		}
	}
	const allowedURL = `a URL such as "http://192.0.2.1:8001"`
	parsed, err := url.Parse(s.Platform.URL)
	switch {
	case s.Platform.URL == "":
		source.ReportMissing(allowedURL, "platform", "url")
	case err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https"):
		source.ReportInvalid(s.Platform.URL, allowedURL, "platform", "url")
	}
}

func (s *Settings) checkAddresses(source *strictyaml.Source) {
	listeners := []struct{ value, key string }{
		{s.Listen.Callers, "callers"},
		{s.Listen.Operators, "operators"},
		{s.Listen.Peers, "peers"},
	}
	listenerByAddress := make(map[string]string)
	for _, listener := range listeners {
		if !address.ValidListen(listener.value) {
			source.ReportInvalid(listener.value, address.ListenFormat, "listen", listener.key)
			continue
		}
		other, used := listenerByAddress[listener.value]
		if used && !address.HasPortZero(listener.value) {
			source.ReportInvalid(listener.value, "an address that listen."+other+" does not use", "listen", listener.key)
		}
		listenerByAddress[listener.value] = listener.key
	}
	advertised := []struct{ value, key string }{
		{s.AdvertisePeers, "advertise_peers"},
		{s.AdvertiseOutside, "advertise_outside"},
	}
	for _, field := range advertised {
		if field.value != "" && !address.ValidDial(field.value) {
			source.ReportInvalid(field.value, address.DialFormat, field.key)
		}
	}
	for i, peer := range s.BootstrapPeers {
		if !address.ValidDial(peer) {
			source.ReportInvalid(peer, address.DialFormat, "bootstrap_peers", i)
		}
	}
}

func (s *Settings) checkLimits(source *strictyaml.Source) {
	limits := s.Limits
	checkRange(source, limits.BodyBytes, minBodyBytes, maxBodyBytes, "body_bytes")
	checkRange(source, limits.HeaderBytes, minHeaderBytes, maxHeaderBytes, "header_bytes")
	checkRange(source, limits.HeaderTimeout, minTimeout, maxTimeout, "header_timeout")
	checkRange(source, limits.BodyTimeout, minTimeout, maxTimeout, "body_timeout")
	checkRange(source, limits.WriteTimeout, minTimeout, maxTimeout, "write_timeout")
	checkRange(source, limits.StopTimeout, minTimeout, maxStopTimeout, "stop_timeout")
	checkRange(source, limits.StopDelay, 0, maxTimeout, "stop_delay")
	if limits.MemoryMB != 0 {
		checkRange(source, limits.MemoryMB, minMemoryMB, maxMemoryMB, "memory_mb")
	}
	checkRange(source, limits.Connections, 0, maxConns, "connections")
	checkRange(source, limits.PeerConnections, 0, maxConns, "peer_connections")
	maxUnfinished := maxConns
	if limits.Connections > 0 {
		maxUnfinished = limits.Connections
	}
	checkRange(source, limits.UnfinishedHeads, 0, maxUnfinished, "unfinished_heads")
}

// minLifetimeFactor is the minimum ratio of the lifetime of claims to their start
// limit. A daemon that was paused must refuse to start the call of its old claim
// long before other daemons treat the claim as expired.
const minLifetimeFactor = 10

func (s *Settings) checkClaims(source *strictyaml.Source) {
	claims := s.Claims
	if claims.StartLimit < minTimeout || claims.StartLimit > maxTimeout {
		source.ReportInvalid(claims.StartLimit, fmt.Sprintf("%v to %v", minTimeout, maxTimeout), "claims", "start_limit")
	}
	if claims.Lifetime < minLifetimeFactor*claims.StartLimit {
		source.ReportInvalid(claims.Lifetime, fmt.Sprintf("at least %d times start_limit", minLifetimeFactor), "claims", "lifetime")
	}
}

// checkRange checks that a limit lies between minimum and maximum, inclusive.
func checkRange[T int | int64 | time.Duration](source *strictyaml.Source, value, minimum, maximum T, key string) {
	if value < minimum || value > maximum {
		source.ReportInvalid(value, fmt.Sprintf("%v to %v", minimum, maximum), "limits", key)
	}
}
