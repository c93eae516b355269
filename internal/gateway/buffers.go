package gateway

import (
	"io"

	"hemlockknot/internal/transport/memory"
)

// bufferMemoryShare is the part of the host's memory that heads, and request and response
// bodies may fill together. Reading a body that is growing needs up to three times
// its size, so the rest must hold twice as much again.
const bufferMemoryShare = 1.0 / 8

// Errors of readAll.
var (
	errBodyTooLong   = memory.ErrTooLong
	errNoBufferSpace = memory.ErrNoSpace
)

// bufferMemory is the memory that the heads and bodies of all requests share. Without it, targets
// or callers that send long ones at once would use up the memory of the host, each
// within its own limit.
type bufferMemory struct{ *memory.Account }

// newBufferMemory returns the memory for heads and bodies on a host with maxMemoryBytes in all.
func newBufferMemory(maxMemoryBytes int64) *bufferMemory {
	return &bufferMemory{memory.New(int64(float64(maxMemoryBytes) * bufferMemoryShare))}
}

// bufferReservation is the part of the memory that one request has reserved. It is safe for
// concurrent use, as several attempts of the request may read answers.
type bufferReservation struct{ *memory.Reservation }

func (m *bufferMemory) newReservation() *bufferReservation {
	return &bufferReservation{m.NewReservation()}
}

// readAll reads a body to its end, see memory.Reservation.
func (r *bufferReservation) readAll(body io.Reader, limit int) ([]byte, error) {
	return r.ReadAll(body, limit)
}

// reserve reserves bytes and reports whether there were enough.
func (r *bufferReservation) reserve(bytes int64) bool { return r.Reserve(bytes) }

// release gives back all that was reserved, once the bodies are no longer needed.
func (r *bufferReservation) release() { r.Release() }
