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

// lines is a log for concurrent use.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), `"message":"`+message+`"`)
}

// settingsText returns the settings of a node as they stand in its file.
func settingsText(n *node, ratio string) string {
	s := n.settings
	return fmt.Sprintf("name: %s\nregion: %s\ndomain: %s\nlisten: %s\ningress: %s\nannounce: %s\nhealth: %s\nmetrics: %s\nstore: [%q]\nretry: {ratio: %s}\n",
		s.Name, s.Region, s.Domain, s.Listen, s.Ingress, s.Announce, s.Health, s.Metrics, s.Store[0], ratio)
}

func TestSettingsAreReloadedWhileTheNodeRuns(t *testing.T) {
	f := newFleet(t, plainService)
	n := f.nodes[0]
	n.stop()
	log := &lines{}
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
	var following sync.WaitGroup
	following.Go(func() { running.WatchSettings(ctx, file, signals) })
	defer following.Wait()
	defer cancel()

	signals <- syscall.SIGHUP
	f.await("reload at the signal", func() bool { return log.count(seamevent.SettingsLoaded) == 1 })
	write("0.25")
	f.await("reload of the changed file", func() bool { return log.count(seamevent.SettingsLoaded) == 2 })
	write("many")
	f.await("refusal of wrong settings", func() bool { return log.count(seamevent.SettingsRefused) == 1 })
	f.await("readiness", running.Ready)
	time.Sleep(10 * time.Millisecond)
	if !running.Ready() {
		t.Error("wrong settings stopped the node")
	}
}
