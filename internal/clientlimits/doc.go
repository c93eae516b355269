// Package clientlimits tests that clients outside the limits neither end nor hang the built
// programs, and that each process stays within its memory and its descriptors meanwhile.
package clientlimits
