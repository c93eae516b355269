package cutoff_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/cutoff"
)

func TestDomainIsCutOffByUnreachableTargets(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := NewDomains()
	must.False(t, d.RecordUnreachable("south", "a", 5, now))
	must.False(t, d.RecordUnreachable("south", "a", 5, now), must.Sprint("the same target must count once"))
	must.False(t, d.RecordUnreachable("south", "b", 5, now))
	must.True(t, d.RecordUnreachable("south", "c", 5, now))
	must.False(t, d.RecordUnreachable("south", "d", 5, now), must.Sprint("the domain is already cut off"))
	must.True(t, d.IsCutOff("south"))
	must.True(t, d.MarkReachable("south"))
	must.False(t, d.IsCutOff("south"))
	must.False(t, d.RecordUnreachable("south", "a", 5, now), must.Sprint("reaching the domain must clear the earlier evidence"))
}

func TestEvidenceExpires(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := NewDomains()
	d.RecordUnreachable("south", "a", 5, now)
	d.RecordUnreachable("south", "b", 5, now)
	must.False(t, d.RecordUnreachable("south", "c", 5, now.Add(2*time.Second)))
}

func TestSingleTargetDoesNotCutOffItsDomain(t *testing.T) {
	must.False(t, NewDomains().RecordUnreachable("south", "a", 1, time.Time{}.Add(time.Hour)))
}
