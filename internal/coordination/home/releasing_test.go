package home

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
)

// recordingLink notes what was released when each message went out.
type recordingLink struct {
	Link
	released *bool
	seen     []bool
}

func (*recordingLink) Context() context.Context { return context.Background() }

func (l *recordingLink) Send(*peerpb.ForwardDown) error {
	l.seen = append(l.seen, *l.released)
	return nil
}

func TestPlaceIsGivenBackBeforeTheEndIsTold(t *testing.T) {
	data := &peerpb.ForwardDown{Body: &peerpb.ForwardDown_Data{Data: &peerpb.Data{}}}
	for _, test := range []struct {
		name string
		last *peerpb.ForwardDown
	}{
		{"end", &peerpb.ForwardDown{Body: &peerpb.ForwardDown_End{End: &peerpb.End{}}}},
		{"refusal", &peerpb.ForwardDown{Body: &peerpb.ForwardDown_Refusal{Refusal: &peerpb.Refusal{}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			released := false
			recorder := &recordingLink{released: &released}
			link := releasing{recorder, func() { released = true }}
			must.NoError(t, link.Send(data))
			must.NoError(t, link.Send(test.last))
			must.Eq(t, []bool{false, true}, recorder.seen)
		})
	}
}
