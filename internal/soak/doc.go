// Package soak is a soak test with fault injection for the daemon on the users'
// platform. Real daemon processes run between callers and stand-ins of the platform
// while several sequences of random faults, drawn from a seed, run concurrently, and planned
// stops, new configurations and short silences of sound targets beside them. The invariants are checked with what the callers
// and targets recorded; the daemons' own counters are not used, and of their logs only which
// configuration they use: a caller relies on the idle timeout that held at its last answer.
//
//	make soak ARGS="--seed 7 --seeds 50 --minutes 1"
//
// All code is in test files.
package soak
