package intake

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxFiles returns the number of descriptors that the process may have open, or 0 if it is
// not known.
func MaxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
