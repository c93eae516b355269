package daemon

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/peerpb"
)

// apartHandler refuses control exchanges with daemons of another environment,
// before anything is taken from them. Without it one wrong bootstrap address
// would put a trial's document in force in production, whose generations are
// counted apart.
type apartHandler struct{ controlHandler }

// Sync implements peer.ControlHandler.
func (h apartHandler) Sync(ctx context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	if message.GetEnvironmentId() != environmentID(h.daemon.settings.Environment) {
		h.daemon.metrics.PeerRefused()
		h.daemon.log.Debug("peer serves another environment", "step", "sync", "peer", message.GetSender())
		return nil, fmt.Errorf("%s serves another environment than %s", h.daemon.settings.Name, message.GetSender())
	}
	return h.controlHandler.Sync(ctx, message)
}

// environmentID is short, as it goes with every control exchange.
func environmentID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
