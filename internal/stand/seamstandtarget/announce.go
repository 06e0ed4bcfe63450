package seamstandtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"cardamomseam/internal/member/seamtarget"
)

const (
	// AnnouncePath is the path of the announcement on the node.
	AnnouncePath    = "/v1/target"
	announcePeriod  = time.Second
	announceTimeout = 500 * time.Millisecond
)

// announcer repeats the announcement to the node.
type announcer struct {
	node   string
	make   func(now time.Time) seamtarget.Announcement
	client *http.Client
	mu     sync.Mutex
}

func newAnnouncer(node string, announcement func(time.Time) seamtarget.Announcement) *announcer {
	return &announcer{
		node:   node,
		make:   announcement,
		client: &http.Client{Timeout: announceTimeout},
	}
}

func (a *announcer) run(ctx context.Context) {
	tick := time.NewTicker(announcePeriod)
	defer tick.Stop()
	for {
		a.now()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// now announces at once and returns when the node has answered or the time-out is over.
func (a *announcer) now() {
	if a.node == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	body, err := json.Marshal(a.make(time.Now()))
	if err != nil {
		return
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+a.node+AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
}
