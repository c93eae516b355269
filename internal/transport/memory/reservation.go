package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// FreeBytes is the size up to which a body needs no reservation. The users' bodies are smaller, and
// a daemon of the target size has 1,800 requests in flight.
const FreeBytes = 8 << 10

// Errors of ReadAll.
var (
	ErrTooLong = errors.New("body is too long")
	ErrNoSpace = errors.New("the memory for bodies is used up")
)

// Reservation is the part of an account that one request has reserved. It is safe for concurrent
// use, as several attempts of the request may read answers.
type Reservation struct {
	account  *Account
	reserved atomic.Int64
}

// NewReservation returns an empty reservation.
func (a *Account) NewReservation() *Reservation { return &Reservation{account: a} }

// ReadAll reads a body to its end. It fails with ErrTooLong if the body has more
// than limit bytes, and at once with ErrNoSpace if the heads and bodies of other requests
// fill the memory. If the body breaks off, or there is no memory for its rest, it returns
// what has been read.
func (r *Reservation) ReadAll(body io.Reader, limit int) ([]byte, error) {
	buffer := make([]byte, 0, 512)
	for {
		if len(buffer) == cap(buffer) {
			grown := min(2*cap(buffer), max(limit+1, len(buffer)+512)) // a byte more shows that the body is too long
			if grown > FreeBytes && !r.Reserve(int64(grown-cap(buffer))) {
				return buffer, ErrNoSpace
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if len(buffer) > limit {
			return nil, ErrTooLong
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// Reserve reserves bytes and reports whether there were enough.
func (r *Reservation) Reserve(bytes int64) bool {
	if !r.account.Reserve(bytes) {
		return false
	}
	r.reserved.Add(bytes)
	return true
}

// Release gives back all that was reserved, once the bodies are no longer needed.
func (r *Reservation) Release() { r.account.Release(r.reserved.Swap(0)) }
