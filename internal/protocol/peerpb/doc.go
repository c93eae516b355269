// Package peerpb holds the messages and the drpc service that hemlockknot
// daemons speak to each other. Everything but this file and peer.proto is
// generated; `make generate` renews it.
package peerpb
