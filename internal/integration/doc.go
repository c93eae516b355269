// Package integration holds the tests that run the real programs as separate
// processes, with stand-ins for the platform and the targets and a fault proxy
// between them. The targets' own records are the judge.
package integration
