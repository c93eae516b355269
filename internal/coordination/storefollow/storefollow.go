// Package storefollow decides whether a daemon follows the platform's store itself or
// receives changes from other daemons. It is a pure function of what the daemon knows.
//
// Each call of the store has a price, so the number of daemons that follow it must not
// grow with the fleet: a few in each failure domain do, and the others take over only
// when what they receive has become old. The load to avoid is a start of all hosts at
// once, when no daemon knows any other, and a large fleet, in which the slowest of many
// daemons receives late what the store said: neither means that nobody follows.
package storefollow

import (
	"math/bits"
	"time"
)

const (
	// minFollowers is the least number of followers in the whole fleet. With three
	// failure domains, three daemons of each follow: one may be stopped and another be
	// refused by the store.
	minFollowers = 9
	// settleTime is how long after its start a daemon may be unaware of the others of
	// its failure domain. All daemons of a fleet may start within 0.3 s, and it takes 20
	// rounds until each of 470 has received the first one of its domain.
	settleTime = 8 * time.Second
	// roundsPerDoubling is how many rounds of exchanges it takes at most, in all but one
	// of a thousand cases, until twice as many daemons know what the store has said.
	roundsPerDoubling = 2
	// smallFleet is the size up to which all daemons hear of a follower within
	// followerRounds, directly or through others. In a larger fleet, of up to 500 daemons, it takes
	// one more.
	smallFleet     = 4 * minFollowers
	followerRounds = 3
	// nextFollowers is how many times as many daemons of a failure domain as follow the store
	// take over first if the followers of a large fleet are lost. The others wait until
	// they would have heard of these, so that not all take over.
	nextFollowers = 2
	// takeoverRounds is how many rounds each daemon waits longer for newer data than the
	// one before it in the order of its failure domain. So one takes over, not all.
	takeoverRounds = 2
)

// Knowledge is what a daemon knows when it decides.
type Knowledge struct {
	// DataAge is how long ago the store confirmed that this daemon's data is current,
	// to this daemon or to the one from which it came.
	DataAge time.Duration
	// FollowerAge is how long ago this daemon heard of one that follows the store, or followed
	// it itself. The loss of all followers shows in it sooner than in DataAge, which grows
	// to ResponseGap while nothing changes.
	FollowerAge time.Duration
	SinceStart  time.Duration // since the start of the daemon
	IsSeed      bool          // other daemons contact this one first
	KnowsSeeds  bool          // there are other daemons to contact first
	Domains     int           // number of failure domains of the fleet
	Preceding   int           // live daemons of the failure domain that come before this one
	DomainSize  int           // daemons of the failure domain, this one included
	FleetSize   int           // daemons of the fleet, this one included
	// ReportedFleetSize is the size that a daemon has reported which has run for long enough
	// to know it; 0: not known.
	ReportedFleetSize int
	RoundSpacing      time.Duration // time between two rounds of exchanges with other daemons
	ResponseGap       time.Duration // longest time between two responses of the store to a daemon that follows it
}

// Followers returns how many daemons of each failure domain follow the store.
func Followers(domains int) int {
	domains = max(1, domains)
	return (minFollowers + domains - 1) / domains
}

// Settling reports whether the daemon has started so lately that it may not know the
// others, and is not one of those that others contact first. What it reads from the
// store for its start may be stale: daemons that follow the store send it what is new
// within their first exchanges. In a fleet in which all daemons follow the store none settles.
func (k Knowledge) Settling() bool {
	allFollow := 0 < k.ReportedFleetSize && k.ReportedFleetSize <= max(1, k.Domains)*Followers(k.Domains)
	return !k.Settled() && k.KnowsSeeds && !k.IsSeed && !allFollow
}

// Settled reports whether the daemon has run for so long that it knows the others.
func (k Knowledge) Settled() bool { return k.SinceStart >= settleTime }

// MustFollow reports whether the daemon must follow the store itself.
func (k Knowledge) MustFollow() bool {
	if !k.Settling() && k.Preceding < Followers(k.Domains) {
		return true
	}
	return k.DataAge > k.maxAge() || k.FollowersLost()
}

// FollowersLost reports whether nobody seems to follow the store, and it is this daemon's turn to
// take over.
func (k Knowledge) FollowersLost() bool {
	rounds := followerRounds
	if k.FleetSize > smallFleet {
		rounds++
		if k.Preceding >= nextFollowers*Followers(k.Domains) {
			rounds += max(1, bits.Len(uint(k.FleetSize/(2*smallFleet))))
		}
	}
	return k.FollowerAge > time.Duration(rounds)*k.RoundSpacing
}

// maxAge returns the age from which data is too old to be kept alive by followers that
// this daemon receives through others.
func (k Knowledge) maxAge() time.Duration {
	rounds := roundsPerDoubling * bits.Len(uint(max(1, k.DomainSize)))
	if waiting := k.Preceding - Followers(k.Domains); waiting > 0 {
		rounds += takeoverRounds * waiting
	}
	return k.ResponseGap + time.Duration(rounds)*k.RoundSpacing
}
