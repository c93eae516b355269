// Command hemlockknotctl is the operators' tool.
package main

import (
	"os"

	"hemlockknot/internal/ctl"
)

func main() {
	os.Exit(int(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
