package seamstandtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cardamomseam/internal/member/seamtarget"
)

const (
	// AnnouncePath is the path on the node to which targets send their announcements.
	AnnouncePath     = "/v1/target"
	announceInterval = 300 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
)

// announcer sends the target's announcement to the node at regular intervals.
type announcer struct {
	node string
	// announcement returns the target's current announcement.
	announcement func(now time.Time) seamtarget.Announcement
	client       *http.Client
	// lastRequest is the number of the latest call of announceNow. lastAnnounced is the number of
	// the latest call that a sent announcement covers.
	lastRequest   atomic.Uint64
	mu            sync.Mutex
	lastAnnounced uint64
}

func newAnnouncer(node string, announcement func(time.Time) seamtarget.Announcement) *announcer {
	return &announcer{
		node:         node,
		announcement: announcement,
		client:       &http.Client{Timeout: announceTimeout},
	}
}

// run announces the target at regular intervals until ctx ends and then withdraws the announcement.
func (a *announcer) run(ctx context.Context) {
	defer a.withdraw()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announceNow()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceNow sends an announcement and returns when the node has responded or after
// announceTimeout. It first waits for an announcement in progress. All calls that wait at the same
// time are covered by one announcement.
func (a *announcer) announceNow() {
	if a.node == "" {
		return
	}
	request := a.lastRequest.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastAnnounced >= request {
		return
	}
	a.lastAnnounced = a.lastRequest.Load()
	body, err := json.Marshal(a.announcement(time.Now()))
	if err != nil {
		return
	}
	a.send(http.MethodPut, AnnouncePath, body)
}

func (a *announcer) withdraw() {
	if a.node != "" {
		a.send(http.MethodDelete, AnnouncePath+"/"+a.announcement(time.Now()).Name, nil)
	}
}

func (a *announcer) send(method, path string, body []byte) {
	r, err := http.NewRequest(method, "http://"+a.node+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}
