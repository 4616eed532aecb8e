package replay

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system CPU time of a process, from /proc.
func cpuTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The program name, in parentheses, may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12 // indexes of utime and stime after the program name
	if len(fields) <= system {
		return 0, errors.Newf("/proc/%d/stat: unexpected format", pid)
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
