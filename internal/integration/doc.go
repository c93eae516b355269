// Package integration tests the real programs as separate processes. Stand-ins
// replace the platform and the targets, and fault proxies can relay the
// connections. The tests compare what callers received with the requests that
// the targets recorded.
//
// The entry daemon of a request is the daemon that its caller connected to. The
// home daemon of an engine admits the requests to that engine and dispatches them.
package integration
