package seamrouter

import (
	"context"
	"os"
	"reflect"
	"time"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamevent"
)

// filePollInterval is the interval between checks whether the settings file has changed.
const filePollInterval = time.Second

// WatchSettings reloads the settings file until ctx ends: on a signal, and when the
// file's modification time or size changes.
func (n *Node) WatchSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	last := stampOf(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = stampOf(file)
			n.reload(time.Now(), file, "signal")
		case <-ticker.C:
			if now := stampOf(file); now != last {
				last = now
				n.reload(time.Now(), file, "file changed")
			}
		}
	}
}

// stamp identifies a version of a file.
type stamp struct {
	changed time.Time
	size    int64
}

func stampOf(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{} // the file is being replaced or is missing; the settings stay as they are
	}
	return stamp{info.ModTime(), info.Size()}
}

// reload reads the file. Invalid settings change nothing; the node's own addresses and names apply only after
// a restart.
func (n *Node) reload(now time.Time, file, reason string) {
	s, err := seamsetting.LoadRouter(file)
	if err != nil {
		n.sink.Emit(now, seamevent.SettingsRefused, seamevent.Fields{"file": file, "reason": reason, "error": err.Error()})
		return
	}
	n.retry.Store(&s.Retry)
	n.stop.Store(&s.Stop)
	n.targets.Expect(expectedTarget(s))
	n.sink.Emit(now, seamevent.SettingsLoaded, seamevent.Fields{"file": file, "reason": reason, "restart": needsRestart(n.settings, s)})
}

// needsRestart reports whether a setting differs that applies only after a restart.
func needsRestart(old, now seamsetting.Router) bool {
	now.Retry, now.Stop = old.Retry, old.Stop
	now.Service, now.Target = old.Service, old.Target
	return !reflect.DeepEqual(old, now)
}
