// Command hemlockknotctl is the command-line tool of the operators of a fleet.
package main

import (
	"os"

	"hemlockknot/internal/ctl"
)

func main() {
	os.Exit(int(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
