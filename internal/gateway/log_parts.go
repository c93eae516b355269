package gateway

import "hemlockknot/internal/protocol/relay"

// Limits of the prompt parts in a log line. Callers choose both ids and their number.
const (
	maxLoggedParts       = 8
	maxLoggedPartIDBytes = 32
)

// loggedParts returns the ids of a prompt's shared parts for a log line: requests that
// share the part that makes engines fail are found by it.
func loggedParts(parts []relay.PromptPart) []string {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:len(parts)-1]
	ids := make([]string, 0, min(len(shared), maxLoggedParts))
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, truncatedID(part.ID))
	}
	return ids
}

// truncatedID returns the beginning of a part's id for a log line.
func truncatedID(id string) string { return id[:min(len(id), maxLoggedPartIDBytes)] }
