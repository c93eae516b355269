//go:build cgo

package main

// A reload signal that arrives while the process starts must not end it: the settings are
// read later anyway. The constructor runs before the Go runtime, whose initialization takes
// some milliseconds; Go leaves SIGHUP ignored until runDaemon asks for it.

// #include <signal.h>
//
// __attribute__((constructor)) static void ignore_reload_signal(void) {
// 	signal(SIGHUP, SIG_IGN);
// }
import "C"
