package metrics

// CountInvalidDocument counts an environment document that was rejected as invalid.
func (m *Metrics) CountInvalidDocument() {
	m.scope.Counter("documents_refused_total").Inc(1)
}

// CountRejectedPeer counts a control exchange that was rejected because the peer
// belongs to another environment.
func (m *Metrics) CountRejectedPeer() {
	m.scope.Counter("peers_refused_total").Inc(1)
}
