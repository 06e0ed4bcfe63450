package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the seconds since its start.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// OpenRecord creates the file of a record.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{start: time.Now(), file: f}, err
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
