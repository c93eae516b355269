package origin_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/origin"
)

const (
	ownIncarnation     = 7
	earlierIncarnation = 3
)

// declaring is a tracker whose daemon declares versions of the service "writers".
type declaring struct {
	*Tracker
	now time.Time
}

func (d *declaring) serve(versions ...string) { d.SetVersions(serving(versions...), d.now) }

// declare writes the declaration, or fails to.
func (d *declaring) declare(succeeds bool) {
	next, _ := d.Declarable(d.now)
	d.BeginDeclaration(next)
	d.EndDeclaration(next, succeeds)
}

// Guards against streams that begin at a version before the store holds that this daemon may begin them
// there: other daemons could take it for lost, and their versions for the preceding one.
func TestStreamsBeginAtDeclaredVersions(t *testing.T) {
	cases := []struct {
		name  string
		steps []func(*declaring) // 10 s apart
		want  []string           // nil: at no version
		free  bool               // at any version
		stale Staleness
	}{
		{"one version", []func(*declaring){serves("v1")}, nil, true, UpToDate},
		{"a second one joins", []func(*declaring){serves("v1"), serves("v1", "v2")}, []string{"v1"}, false, Lacking},
		{"declared", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true)}, nil, true, UpToDate},
		{"cannot be declared", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(false)}, []string{"v1"}, false, Lacking},
		{"the preceding one is replaced", []func(*declaring){serves("v1"), serves("v2")}, nil, false, Blocking},
		{"the same, and cannot be declared", []func(*declaring){serves("v1"), serves("v2"), declares(false)}, nil, true, Lacking},
		{"two from the start", []func(*declaring){serves("v1", "v2")}, nil, false, Blocking},
		{"a third one joins", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true), serves("v1", "v2", "v3")}, []string{"v1", "v2"}, false, Lacking},
		{"the second one leaves", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true), serves("v1")}, nil, true, UpToDate},
		{"it has left long ago", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true), serves("v1"), waits}, nil, true, Excessive},
		{"withdrawn, then it joins again", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true), serves("v1"), waits, declares(true), serves("v1", "v2")}, []string{"v1"}, false, Lacking},
		{"perhaps withdrawn, then it joins again", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true), serves("v1"), waits, declares(false), serves("v1", "v2")}, []string{"v1"}, false, Lacking},
		{"the store is restored without it", []func(*declaring){serves("v1"), serves("v1", "v2"), declares(true), loads(Declaration{})}, []string{"v1"}, false, Lacking},
		{"the store is restored with a part of it", []func(*declaring){serves("v1"), serves("v1", "v2", "v3"), declares(true), loads(Declaration{ownIncarnation, map[string][]string{"writers": {"v1", "v2"}}, nil})}, []string{"v1", "v2"}, false, Lacking},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &declaring{newLoaded(start), start}
			d.SetIncarnation(ownIncarnation)
			d.LoadDeclaration(Declaration{}, start)
			for _, step := range c.steps {
				d.now = d.now.Add(10 * time.Second)
				step(d)
			}
			versions, restricted := d.Begins("writers", d.now)
			must.Eq(t, c.free, !restricted)
			must.SliceEqOp(t, c.want, versions)
			_, stale := d.Declarable(d.now)
			must.Eq(t, c.stale, stale)
		})
	}
}

func serves(versions ...string) func(*declaring) {
	return func(d *declaring) { d.serve(versions...) }
}

func declares(succeeds bool) func(*declaring) {
	return func(d *declaring) { d.declare(succeeds) }
}

func loads(stored Declaration) func(*declaring) {
	return func(d *declaring) { d.LoadDeclaration(stored, d.now) }
}

func waits(d *declaring) { d.now = d.now.Add(2*Lifetime + time.Second) }

// Guards against a declaration that is lost when its daemon is killed and starts again: streams of the earlier
// incarnation may still be taken up.
func TestDeclarationKeepsThatOfEarlierIncarnations(t *testing.T) {
	d := &declaring{newLoaded(start), start}
	d.SetIncarnation(ownIncarnation)
	d.LoadDeclaration(Declaration{earlierIncarnation, map[string][]string{"writers": {"v1", "v2"}}, map[string][]string{"writers": {"v0"}}}, start)
	d.serve("v1", "v2")
	d.declare(true)
	next, stale := d.Declarable(start.Add(Lifetime))
	must.Eq(t, UpToDate, stale)
	must.Eq(t, map[string][]string{"writers": {"v0", "v1", "v2"}}, next.Earlier)
	d.now = start.Add(2*Lifetime + time.Second)
	next, stale = d.Declarable(d.now)
	must.Eq(t, Excessive, stale)
	must.MapEmpty(t, next.Earlier)
}
