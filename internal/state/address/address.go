// Package address validates network addresses in settings and in environment
// documents.
package address

import (
	"net"
	"strconv"
)

// Descriptions of the accepted formats, for error messages.
const (
	DialFormat   = `host:port such as "192.0.2.10:8080", the port from 1 to 65535`
	ListenFormat = `host:port such as "192.0.2.10:8080" or ":8080", the port from 0 (any free one) to 65535`
)

// ValidDial reports whether a client can connect to the address: it has a host and
// a port other than 0.
func ValidDial(address string) bool {
	host, port, ok := splitHostPort(address)
	return ok && host != "" && port > 0
}

// ValidListen reports whether a server can listen on the address. The host may
// be empty and the port may be 0.
func ValidListen(address string) bool {
	_, _, ok := splitHostPort(address)
	return ok
}

// HasPortZero reports whether the address has port 0, so that the system picks a
// free port.
func HasPortZero(address string) bool {
	_, port, ok := splitHostPort(address)
	return ok && port == 0
}

// splitHostPort is net.SplitHostPort with a numeric port.
func splitHostPort(address string) (host string, port uint64, ok bool) {
	const portBits = 16
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, false
	}
	port, err = strconv.ParseUint(portText, 10, portBits)
	return host, port, err == nil
}
