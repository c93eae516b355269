package gateway

import (
	"context"
	"os"
	"reflect"
	"slices"
	"time"

	"hemlockknot/platform"
)

// settingsInterval is how often the settings are read without a signal: the
// platform may change them without one.
const settingsInterval = 5 * time.Second

// FollowSettings reads the settings again at each signal, and now and then
// without one, until the context ends. Settings that cannot be read leave the
// last good ones.
func (g *Gateway) FollowSettings(ctx context.Context, load func() (platform.Settings, error), signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := g.settings
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
		case signalled || !reflect.DeepEqual(settings, last):
			last = settings
			g.reload(settings)
		}
	}
}

// reload puts the settings in force that can change in a running process: the
// seeds and the time that a planned stop may take. Others wait for its next start.
func (g *Gateway) reload(settings platform.Settings) {
	g.peers.setSeeds(settings.Seeds)
	g.grace.Store(int64(settings.Grace))
	rest := settings
	rest.Seeds, rest.Grace = g.settings.Seeds, g.settings.Grace
	g.log.Warn("settings read again", "seeds", settings.Seeds, "grace_ms", settings.Grace.Milliseconds(),
		"others_wait_for_a_start", !reflect.DeepEqual(rest, g.settings))
}

// setSeeds replaces the seeds; this daemon itself is none.
func (p *peers) setSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == p.address })
}
