package metrics

// DocumentRefused counts an environment document that was rejected as invalid.
func (m *Metrics) DocumentRefused() {
	m.scope.Counter("documents_refused_total").Inc(1)
}

// PeerRefused counts a control exchange that was rejected because the peer belongs to
// another environment.
func (m *Metrics) PeerRefused() {
	m.scope.Counter("peers_refused_total").Inc(1)
}
