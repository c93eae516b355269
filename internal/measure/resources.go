package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// daemonResources returns the daemons' processor time and resident memory in bytes,
// each summed over the daemons.
func (f *fleet) daemonResources() (time.Duration, int64, error) {
	var cpu time.Duration
	var memory int64
	for _, daemon := range f.daemons {
		daemonCPU, daemonMemory, err := processResources(daemon.cmd.Process.Pid)
		if err != nil {
			return 0, 0, fmt.Errorf("read resources of daemon %s: %w", daemon.name, err)
		}
		cpu += daemonCPU
		memory += daemonMemory
	}
	return cpu, memory, nil
}

// processResources returns a process's processor time and resident memory in bytes.
func processResources(pid int) (time.Duration, int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The fields after the program's name, which may contain spaces and ends at the
	// last closing parenthesis. The constants below are indexes into these fields.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const (
		userTimeField      = 11
		systemTimeField    = 12
		residentPagesField = 21
	)
	if len(fields) <= residentPagesField {
		return 0, 0, fmt.Errorf("read stat: too few fields: %d", len(fields))
	}
	var values [3]int64
	for i, field := range []int{userTimeField, systemTimeField, residentPagesField} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return 0, 0, fmt.Errorf("read stat: %w", err)
		}
	}
	return time.Duration(values[0]+values[1]) * clockTick, values[2] * int64(os.Getpagesize()), nil
}
