package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// resources returns the daemons' processor time and resident memory, summed.
func (f *fleet) resources() (time.Duration, int64, error) {
	var cpu time.Duration
	var memory int64
	for _, daemon := range f.daemons {
		used, resident, err := processResources(daemon.cmd.Process.Pid)
		if err != nil {
			return 0, 0, fmt.Errorf("resources of %s: %w", daemon.name, err)
		}
		cpu += used
		memory += resident
	}
	return cpu, memory, nil
}

// processResources reads a process's processor time and resident memory.
func processResources(pid int) (time.Duration, int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The fields after the program's name, which ends at the last bracket.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const (
		userTime   = 11
		systemTime = 12
		residentAt = 21 // pages
	)
	if len(fields) <= residentAt {
		return 0, 0, fmt.Errorf("read stat: %d fields", len(fields))
	}
	var values [3]int64
	for i, at := range []int{userTime, systemTime, residentAt} {
		if values[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return 0, 0, fmt.Errorf("read stat: %w", err)
		}
	}
	return time.Duration(values[0]+values[1]) * clockTick, values[2] * int64(os.Getpagesize()), nil
}
