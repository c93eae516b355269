package daemon

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/peerpb"
)

// environmentGuard rejects sync messages from daemons of another environment before
// their content is processed. Without this check, a single wrong bootstrap address
// could put a test environment's document in force in production, because each
// environment counts its generations separately. The other control calls carry no
// environment id and are not checked.
type environmentGuard struct{ controlHandler }

// Sync implements peer.ControlHandler.
func (h environmentGuard) Sync(ctx context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	if message.GetEnvironmentId() != environmentID(h.daemon.settings.Environment) {
		h.daemon.metrics.CountRejectedPeer()
		h.daemon.log.Debug("rejected control message from another environment", "step", "sync", "peer", message.GetSender())
		return nil, fmt.Errorf("%s serves another environment than %s", h.daemon.settings.Name, message.GetSender())
	}
	return h.controlHandler.Sync(ctx, message)
}

// environmentID returns a hash of an environment's name. The hash is short because
// every sync message carries it.
func environmentID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
