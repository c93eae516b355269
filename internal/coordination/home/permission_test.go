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

// answeringLink answers a question for permission after a while.
type answeringLink struct {
	after  time.Duration
	answer *peerpb.ForwardUp
}

func (answeringLink) Context() context.Context       { return context.Background() }
func (answeringLink) Send(*peerpb.ForwardDown) error { return nil }
func (l answeringLink) Recv() (*peerpb.ForwardUp, error) {
	time.Sleep(l.after)
	if l.answer == nil {
		return nil, errors.New("link lost")
	}
	return l.answer, nil
}

func permission(granted bool) *peerpb.ForwardUp {
	return &peerpb.ForwardUp{Body: &peerpb.ForwardUp_Permission{Permission: &peerpb.StartPermission{Granted: granted}}}
}

func TestNothingStartsWithoutFreshPermission(t *testing.T) {
	for _, test := range []struct {
		name   string
		link   answeringLink
		starts bool
	}{
		{"granted", answeringLink{0, permission(true)}, true},
		{"granted in time", answeringLink{permissionLife, permission(true)}, true},
		{"granted, read after a pause", answeringLink{permissionLife + time.Second, permission(true)}, false},
		{"denied", answeringLink{0, permission(false)}, false},
		{"caller gone", answeringLink{0, &peerpb.ForwardUp{Body: &peerpb.ForwardUp_Cancel{}}}, false},
		{"link lost", answeringLink{0, nil}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refused := askStart(test.link, &peerpb.Call{AskStart: true})
				must.Eq(t, test.starts, refused == nil)
				if refused != nil {
					must.True(t, refused.DidNotRun())
				}
			})
		})
	}
}
