package events_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/protocol/events"
)

func TestNext(t *testing.T) {
	reader := NewReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\nda"))
	for _, want := range []Event{
		{1, []byte("id: 1\ndata: a\n\n")},
		{2, []byte("id:2\r\ndata: b\r\n\r\n")},
		{0, []byte(": comment\n\n")},
	} {
		event, err := reader.Next()
		must.NoError(t, err)
		must.Eq(t, want, event)
	}
	_, err := reader.Next()
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestNextRejectsInvalidEvents(t *testing.T) {
	_, err := NewReader(strings.NewReader("id: x\n\n")).Next()
	must.Error(t, err)
	_, err = NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxEventBytes) + "\n\n")).Next()
	must.ErrorIs(t, err, ErrTooLong)
}

// FuzzNext checks that the returned events, joined, are a prefix of the stream, for any
// stream.
func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\r\n\n\nid:\n")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := NewReader(strings.NewReader(stream))
		var joined strings.Builder
		for {
			event, err := reader.Next()
			if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				break
			}
			joined.Write(event.Bytes)
			if err != nil {
				break
			}
		}
		must.StrHasPrefix(t, joined.String(), stream)
	})
}
