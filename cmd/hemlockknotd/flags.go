package main

import (
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/state/settings"
)

// overridableSettings are the settings that a flag or an environment variable may
// override: those that may differ between hosts, and the log level.
var overridableSettings = []settings.Override{
	{Path: []any{"name"}, Field: func(s *settings.Settings) *string { return &s.Name }},
	{Path: []any{"place"}, Field: func(s *settings.Settings) *string { return &s.Place }},
	{Path: []any{"failure_domain"}, Field: func(s *settings.Settings) *string { return &s.FailureDomain }},
	{Path: []any{"environment"}, Field: func(s *settings.Settings) *string { return &s.Environment }},
	{Path: []any{"platform", "url"}, Field: func(s *settings.Settings) *string { return &s.Platform.URL }},
	{Path: []any{"listen", "callers"}, Field: func(s *settings.Settings) *string { return &s.Listen.Callers }},
	{Path: []any{"listen", "operators"}, Field: func(s *settings.Settings) *string { return &s.Listen.Operators }},
	{Path: []any{"listen", "peers"}, Field: func(s *settings.Settings) *string { return &s.Listen.Peers }},
	{Path: []any{"advertise_peers"}, Field: func(s *settings.Settings) *string { return &s.AdvertisePeers }},
	{Path: []any{"advertise_outside"}, Field: func(s *settings.Settings) *string { return &s.AdvertiseOutside }},
	{Path: []any{"log_level"}, Field: func(s *settings.Settings) *string { return &s.LogLevel }},
}

// overrideFlags adds a flag and an environment variable to the command for each
// overridable setting. The returned function returns the overrides; it must be called
// after the command line is parsed.
func overrideFlags(command *kingpin.CmdClause) func() []settings.Override {
	values := make([]*string, len(overridableSettings))
	for i, override := range overridableSettings {
		name := flagName(override.Path)
		flag := command.Flag(name, "Overrides "+dottedPath(override.Path)+" of the settings file.")
		values[i] = flag.Envar("HEMLOCKKNOT_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))).String()
	}
	return func() []settings.Override {
		overrides := make([]settings.Override, len(overridableSettings))
		for i, override := range overridableSettings {
			override.Value = *values[i]
			override.Origin = "flag --" + flagName(override.Path)
			overrides[i] = override
		}
		return overrides
	}
}

// flagName returns the name of the flag for a setting, such as listen-callers.
func flagName(path []any) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(dottedPath(path))
}

// dottedPath returns the path of a setting in the settings file, such as
// listen.callers.
func dottedPath(path []any) string {
	parts := make([]string, len(path))
	for i, part := range path {
		parts[i] = part.(string)
	}
	return strings.Join(parts, ".")
}
