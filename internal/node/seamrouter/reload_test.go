package seamrouter_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/observe/seamevent"
)

// logBuffer collects log lines and is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) countEvents(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), `"message":"`+event+`"`)
}

// settingsText returns the content of a node's settings file.
func settingsText(n *node, ratio string) string {
	s := n.settings
	return fmt.Sprintf("name: %s\nregion: %s\ndomain: %s\nlisten: %s\ningress: %s\nannounce: %s\nhealth: %s\nmetrics: %s\nstore: [%q]\nretry: {ratio: %s}\n",
		s.Name, s.Region, s.Domain, s.Listen, s.Ingress, s.Announce, s.Health, s.Metrics, s.Store[0], ratio)
}

func TestSettingsAreReloadedWhileTheNodeRuns(t *testing.T) {
	f := newFleet(t, plainService)
	n := f.nodes[0]
	n.stop()
	log := &logBuffer{}
	running, stop, err := seamrouter.New(n.settings, f.adapter(n), seamrouter.Options{Log: log})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(ratio string) {
		if err := os.WriteFile(file, []byte(settingsText(n, ratio)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("0.2")
	signals := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { running.WatchSettings(ctx, file, signals) })
	defer watching.Wait()
	defer cancel()

	signals <- syscall.SIGHUP
	f.await("reload on the signal", func() bool { return log.countEvents(seamevent.SettingsLoaded) == 1 })
	write("0.25")
	f.await("reload of the changed file", func() bool { return log.countEvents(seamevent.SettingsLoaded) == 2 })
	write("many")
	f.await("refusal of invalid settings", func() bool { return log.countEvents(seamevent.SettingsRefused) == 1 })
	f.await("readiness", running.Ready)
	time.Sleep(10 * time.Millisecond)
	if !running.Ready() {
		t.Error("node is not ready after invalid settings")
	}
}
