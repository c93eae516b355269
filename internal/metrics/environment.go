package metrics

// DocumentRefused counts a document that was not put in force, as it is invalid.
func (m *Metrics) DocumentRefused() {
	m.scope.Counter("documents_refused_total").Inc(1)
}

// PeerRefused counts a control exchange with a daemon of another environment.
func (m *Metrics) PeerRefused() {
	m.scope.Counter("peers_refused_total").Inc(1)
}
