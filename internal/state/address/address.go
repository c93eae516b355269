// Package address checks the network addresses that operators write.
package address

import (
	"net"
	"strconv"
)

// Descriptions of the allowed addresses, for errors.
const (
	Allowed       = `host:port such as "192.0.2.10:8080", the port from 1 to 65535`
	AllowedListen = `host:port such as "192.0.2.10:8080" or ":8080", the port from 0 (any free one) to 65535`
)

// Valid reports whether a text is an address to connect to.
func Valid(text string) bool {
	host, port, ok := split(text)
	return ok && host != "" && port > 0
}

// ValidListen reports whether a text is an address to listen on.
func ValidListen(text string) bool {
	_, _, ok := split(text)
	return ok
}

// AnyPort reports whether an address to listen on leaves the port open.
func AnyPort(text string) bool {
	_, port, ok := split(text)
	return ok && port == 0
}

func split(text string) (host string, port uint64, ok bool) {
	const portBits = 16
	host, number, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, false
	}
	port, err = strconv.ParseUint(number, 10, portBits)
	return host, port, err == nil
}
