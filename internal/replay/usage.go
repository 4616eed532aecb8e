package replay

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that a process has used, as Linux counts
// it.
func cpuTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name of the program, in parentheses, may hold spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12 // counted from the state
	if len(fields) <= system {
		return 0, errors.Newf("/proc/%d/stat: unknown form", pid)
	}
	ticks := 0
	for _, field := range [][]byte{fields[user], fields[system]} {
		n, err := strconv.Atoi(string(field))
		if err != nil {
			return 0, errors.Wrapf(err, "/proc/%d/stat", pid)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
