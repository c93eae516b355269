package home

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
)

// recordingExchange records for each message whether the admission had been released
// when the message was sent.
type recordingExchange struct {
	Exchange
	released       *bool
	releasedAtSend []bool
}

func (*recordingExchange) Context() context.Context { return context.Background() }

func (e *recordingExchange) Send(*peerpb.ForwardDown) error {
	e.releasedAtSend = append(e.releasedAtSend, *e.released)
	return nil
}

func TestAdmissionIsReleasedBeforeTheFinalMessage(t *testing.T) {
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
			recorder := &recordingExchange{released: &released}
			exchange := releasingExchange{recorder, func() { released = true }}
			must.NoError(t, exchange.Send(data))
			must.NoError(t, exchange.Send(test.last))
			must.Eq(t, []bool{false, true}, recorder.releasedAtSend)
		})
	}
}
