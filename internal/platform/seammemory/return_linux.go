package seammemory

import (
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ReturnProgram returns the pages of the program file that the process holds, and its size in
// bytes. What is used again is mapped again on its first use. Mappings with pages that differ
// from the file, such as relocated constants, are left alone.
func ReleaseProgramPages() (int, error) {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return 0, errors.Wrap(err, "name of the program")
	}
	f, err := os.Open("/proc/self/smaps")
	if err != nil {
		return 0, errors.Wrap(err, "mappings of the process")
	}
	defer f.Close()
	list, err := parseMappings(f)
	if err != nil {
		return 0, err
	}
	returned := 0
	for _, m := range list {
		if !m.clean(program) {
			continue
		}
		size := m.to - m.from
		if _, _, code := syscall.Syscall(syscall.SYS_MADVISE, m.from, size, syscall.MADV_DONTNEED); code != 0 {
			return returned, errors.Wrap(code, "return pages")
		}
		returned += int(size)
	}
	return returned, nil
}
