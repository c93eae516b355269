package home

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
)

// permissionExchange answers a request for permission after a delay. A nil answer
// means that the exchange is lost.
type permissionExchange struct {
	delay  time.Duration
	answer *peerpb.ForwardUp
}

func (permissionExchange) Context() context.Context       { return context.Background() }
func (permissionExchange) Send(*peerpb.ForwardDown) error { return nil }
func (e permissionExchange) Recv() (*peerpb.ForwardUp, error) {
	time.Sleep(e.delay)
	if e.answer == nil {
		return nil, errors.New("exchange lost")
	}
	return e.answer, nil
}

func permissionMessage(granted bool) *peerpb.ForwardUp {
	return &peerpb.ForwardUp{Body: &peerpb.ForwardUp_Permission{Permission: &peerpb.StartPermission{Granted: granted}}}
}

func TestNothingStartsWithoutFreshPermission(t *testing.T) {
	for _, test := range []struct {
		name      string
		exchange  permissionExchange
		wantStart bool
	}{
		{"granted", permissionExchange{0, permissionMessage(true)}, true},
		{"granted at the maximum age", permissionExchange{maxPermissionAge, permissionMessage(true)}, true},
		{"granted, received after the maximum age", permissionExchange{maxPermissionAge + time.Second, permissionMessage(true)}, false},
		{"denied", permissionExchange{0, permissionMessage(false)}, false},
		{"caller gone", permissionExchange{0, &peerpb.ForwardUp{Body: &peerpb.ForwardUp_Cancel{}}}, false},
		{"exchange lost", permissionExchange{0, nil}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refused := requestPermission(test.exchange, &peerpb.Call{AskStart: true})
				must.Eq(t, test.wantStart, refused == nil)
				if refused != nil {
					must.True(t, refused.DidNotRun())
				}
			})
		})
	}
}
