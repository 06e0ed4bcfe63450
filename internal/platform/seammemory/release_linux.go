package seammemory

import (
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ReleaseProgramPages releases the resident pages of the executable file and returns their mapped
// size in bytes. The kernel reads a released page from the file again on its next use. Mappings with
// pages that differ from the file, such as relocated constants, are not released.
func ReleaseProgramPages() (int, error) {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return 0, errors.Wrap(err, "read the path of the executable")
	}
	f, err := os.Open("/proc/self/smaps")
	if err != nil {
		return 0, errors.Wrap(err, "open the memory mappings")
	}
	defer f.Close()
	mappings, err := parseMappings(f)
	if err != nil {
		return 0, err
	}
	released := 0
	for _, m := range mappings {
		if !m.releasable(program) {
			continue
		}
		size := m.to - m.from
		if _, _, errno := syscall.Syscall(syscall.SYS_MADVISE, m.from, size, syscall.MADV_DONTNEED); errno != 0 {
			return released, errors.Wrap(errno, "release pages")
		}
		released += int(size)
	}
	return released, nil
}
