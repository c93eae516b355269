package target

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// freeEventBytes is how many bytes of an event need no reservation. Most events have some hundred.
const freeEventBytes = 8 << 10

var errNoEventMemory = errors.New("the memory for long events is used up")

// eventBody is the body of a stream. An event is kept in memory until it is complete, so reading
// fails if the long events of all streams fill the memory that they share: engines in trouble may
// send events without end, each within its own limit. It is not safe for concurrent use, but for
// Close.
type eventBody struct {
	io.ReadCloser
	memory   *semaphore.Weighted
	read     int64 // bytes since the last complete event
	reserved int64 // bytes
}

// Read reads from the stream.
func (b *eventBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.read += int64(n)
	if b.read <= max(freeEventBytes, b.reserved) {
		return n, err
	}
	grown := max(b.read, 2*b.reserved)
	if !b.memory.TryAcquire(grown - b.reserved) {
		return 0, errNoEventMemory
	}
	b.reserved = grown
	return n, err
}

// endEvent releases the memory of an event that is complete, or is not read any more.
func (b *eventBody) endEvent() {
	b.memory.Release(b.reserved)
	b.read, b.reserved = 0, 0
}
