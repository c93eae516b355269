// Package soak holds a fault soak of the daemon on the users' platform: real
// daemons as processes between callers and stand-ins of the platform, with faults
// drawn from a seed that come in series and overlap. Callers and targets judge
// what must always hold; the daemons' own counters are not asked.
//
//	make soak ARGS="--seed 7 --seeds 50 --minutes 1"
//
// All of it lies in test files.
package soak
