package seamfleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage holds the resources that a process has used so far.
type Usage struct {
	// CPU is the user and system processor time.
	CPU time.Duration
	// Memory is the resident memory in bytes.
	Memory int64
}

const (
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the indexes of the processor times in /proc/PID/stat,
	// counted after the program name.
	userField   = 11
	systemField = 12
)

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, err
	}
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return Usage{}, fmt.Errorf("/proc/%d/stat has too few fields", p.Pid())
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	memory, err := residentMemory(p.Pid())
	return Usage{CPU: time.Duration(user+system) * clockTick, Memory: memory}, err
}

func residentMemory(pid int) (int64, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(body))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm has too few fields", pid)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// Metrics returns the node's metrics, keyed by full name including labels.
func (i *Instance) Metrics(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	values := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := splitMetric(lines.Text())
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = value
		}
	}
	return values, lines.Err()
}

func splitMetric(line string) (name, value string, ok bool) {
	n := strings.LastIndexByte(line, ' ')
	if n < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:n], line[n+1:], true
}

// SumMetrics adds up the metrics whose names begin with prefix and contain all substrings.
func SumMetrics(values map[string]float64, prefix string, substrings ...string) float64 {
	total := 0.0
	for name, v := range values {
		if strings.HasPrefix(name, prefix) && containsAll(name, substrings) {
			total += v
		}
	}
	return total
}

func containsAll(name string, substrings []string) bool {
	for _, substring := range substrings {
		if !strings.Contains(name, substring) {
			return false
		}
	}
	return true
}
