package memory_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/transport/memory"
)

// Unfinished heads must not take the room of bodies: they get half of the account, and yield when
// a body needs more.
func TestUnfinishedHeadsYield(t *testing.T) {
	account := New(100)
	heads := []int64{20, 20}
	ended := 0
	account.OnShortage(func() <-chan struct{} {
		if ended == len(heads) {
			return nil
		}
		released := make(chan struct{})
		account.ReleaseHead(heads[ended])
		close(released)
		ended++
		return released
	})
	must.True(t, account.ReserveHead(20))
	must.True(t, account.ReserveHead(20))
	must.True(t, account.Reserve(60))
	must.Eq(t, 0, ended)
	must.True(t, account.Reserve(30)) // both heads yield
	must.Eq(t, 2, ended)
	must.False(t, account.Reserve(20))
	must.False(t, account.ReserveHead(20))
	account.Release(90)
	must.False(t, account.ReserveHead(51))
	must.True(t, account.ReserveHead(50))
}

// Memory was lent again while a head that had been told to end still held it.
func TestReservationWaitsForHeadsThatYield(t *testing.T) {
	account := New(100)
	released := make(chan struct{})
	account.OnShortage(func() <-chan struct{} { return released })
	must.True(t, account.ReserveHead(50))
	must.False(t, account.ReserveHead(10)) // the head goes on holding its memory
	must.False(t, account.Reserve(60))
	go func() {
		account.ReleaseHead(50)
		close(released)
	}()
	must.True(t, account.ReserveHead(10))
	must.True(t, account.Reserve(60))
}

// A body that can never fit must not end the heads of others.
func TestHopelessReservationEndsNoHead(t *testing.T) {
	account := New(100)
	account.OnShortage(func() <-chan struct{} { t.Error("a head was to yield"); return nil })
	must.False(t, account.Reserve(101))
	must.False(t, account.ReserveHead(51))
}

// A body of just the allowed size must fit into an account of that size.
func TestReadAllReservesNoMoreThanTheLimit(t *testing.T) {
	const limit = 100 << 10
	reservation := New(limit + 1).NewReservation()
	body, err := reservation.ReadAll(strings.NewReader(strings.Repeat("a", limit)), limit)
	must.NoError(t, err)
	must.Eq(t, limit, len(body))
	reservation.Release()
	_, err = reservation.ReadAll(strings.NewReader(strings.Repeat("a", limit+1)), limit)
	must.ErrorIs(t, err, ErrTooLong)
}
