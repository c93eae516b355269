package gateway

import (
	"context"
	"os"
	"reflect"
	"slices"
	"time"

	"hemlockknot/platform"
)

// settingsPollInterval is how often the settings are read without a signal: the
// platform may change them without sending one.
const settingsPollInterval = 5 * time.Second

// WatchSettings reloads the settings on each signal and at a fixed interval
// until the context ends. If loading fails, the last good settings stay in use.
func (g *Gateway) WatchSettings(ctx context.Context, load func() (platform.Settings, error), signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastGood := g.settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		settings, err := load()
		switch {
		case err != nil:
			g.log.Warn("settings cannot be read, the last ones stay", "error", err)
		case signalled || !reflect.DeepEqual(settings, lastGood):
			lastGood = settings
			g.applySettings(settings)
		}
	}
}

// applySettings applies the settings that can change in a running process: the
// seeds and the grace period of a planned stop. All others need a restart.
func (g *Gateway) applySettings(settings platform.Settings) {
	g.peers.setSeeds(settings.Seeds)
	g.stopGrace.Store(int64(settings.StopGrace))
	restartOnly := settings
	restartOnly.Seeds, restartOnly.StopGrace = g.settings.Seeds, g.settings.StopGrace
	g.log.Warn("settings read again", "seeds", settings.Seeds, "grace_ms", settings.StopGrace.Milliseconds(),
		"others_wait_for_a_start", !reflect.DeepEqual(restartOnly, g.settings))
}

// setSeeds replaces the seeds and leaves out this daemon's own address.
func (p *peers) setSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isSeed = slices.Contains(addresses, p.address)
	p.seeds = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == p.address })
}
