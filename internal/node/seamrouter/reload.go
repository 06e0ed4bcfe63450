package seamrouter

import (
	"context"
	"os"
	"reflect"
	"time"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamevent"
)

// fileInterval is the time between looks whether the file of settings has changed.
const fileInterval = time.Second

// Follow takes up changes of the file of settings until ctx ends: at a signal, and when the
// file's time or size changes.
func (n *Node) WatchSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(fileInterval)
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

// stamp tells whether a file has changed.
type stamp struct {
	changed time.Time
	size    int64
}

func stampOf(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{} // the file is being replaced, or gone; the settings stay as they are
	}
	return stamp{info.ModTime(), info.Size()}
}

// reload reads the file. Settings that are wrong change nothing; addresses and names apply from the next start.
func (n *Node) reload(now time.Time, file, reason string) {
	s, err := seamsetting.LoadRouter(file)
	if err != nil {
		n.sink.Emit(now, seamevent.SettingsRefused, seamevent.Fields{"file": file, "reason": reason, "error": err.Error()})
		return
	}
	n.retry.Store(&s.Retry)
	n.stop.Store(&s.Stop)
	n.sink.Emit(now, seamevent.SettingsLoaded, seamevent.Fields{"file": file, "reason": reason, "restart": needsRestart(n.settings, s)})
}

// needsRestart reports whether settings differ that apply from the next start only.
func needsRestart(old, now seamsetting.Router) bool {
	now.Retry, now.Stop = old.Retry, old.Stop
	return !reflect.DeepEqual(old, now)
}
