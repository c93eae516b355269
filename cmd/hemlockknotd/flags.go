package main

import (
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/state/settings"
)

// overridable are the settings that a flag or an environment variable may
// replace: what differs from host to host, and the log level.
var overridable = []settings.Override{
	{Path: []any{"name"}, Target: func(s *settings.Settings) *string { return &s.Name }},
	{Path: []any{"place"}, Target: func(s *settings.Settings) *string { return &s.Place }},
	{Path: []any{"failure_domain"}, Target: func(s *settings.Settings) *string { return &s.FailureDomain }},
	{Path: []any{"environment"}, Target: func(s *settings.Settings) *string { return &s.Environment }},
	{Path: []any{"platform", "url"}, Target: func(s *settings.Settings) *string { return &s.Platform.URL }},
	{Path: []any{"listen", "callers"}, Target: func(s *settings.Settings) *string { return &s.Listen.Callers }},
	{Path: []any{"listen", "operators"}, Target: func(s *settings.Settings) *string { return &s.Listen.Operators }},
	{Path: []any{"listen", "peers"}, Target: func(s *settings.Settings) *string { return &s.Listen.Peers }},
	{Path: []any{"advertise_peers"}, Target: func(s *settings.Settings) *string { return &s.AdvertisePeers }},
	{Path: []any{"advertise_outside"}, Target: func(s *settings.Settings) *string { return &s.AdvertiseOutside }},
	{Path: []any{"log_level"}, Target: func(s *settings.Settings) *string { return &s.LogLevel }},
}

// overrideFlags adds a flag and an environment variable for each overridable
// setting. The function that it returns gives their values once they are parsed.
func overrideFlags(command *kingpin.CmdClause) func() []settings.Override {
	values := make([]*string, len(overridable))
	for i, override := range overridable {
		name := flagName(override.Path)
		flag := command.Flag(name, "Replaces "+pathText(override.Path)+" of the settings file.")
		values[i] = flag.Envar("HEMLOCKKNOT_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))).String()
	}
	return func() []settings.Override {
		overrides := make([]settings.Override, len(overridable))
		for i, override := range overridable {
			override.Value = *values[i]
			override.Origin = "flag --" + flagName(override.Path)
			overrides[i] = override
		}
		return overrides
	}
}

func flagName(path []any) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(pathText(path))
}

func pathText(path []any) string {
	parts := make([]string, len(path))
	for i, part := range path {
		parts[i] = part.(string)
	}
	return strings.Join(parts, ".")
}
