// Package soak is a soak test with fault injection for the daemon on the users'
// platform. Real daemon processes run between callers and stand-ins of the platform
// while several sequences of random faults, drawn from a seed, run concurrently. The
// invariants are checked with what the callers and targets recorded; the daemons' own
// counters are not used.
//
//	make soak ARGS="--seed 7 --seeds 50 --minutes 1"
//
// All code is in test files.
package soak
