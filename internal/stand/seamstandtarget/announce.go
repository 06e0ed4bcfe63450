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
	// AnnouncePath is the path of the announcement on the node.
	AnnouncePath     = "/v1/target"
	announceInterval = 300 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
)

// announcer sends the target's announcement to the node at regular intervals.
type announcer struct {
	node         string
	announcement func(now time.Time) seamtarget.Announcement
	client       *http.Client
	// requests counts the calls of announceNow. announcedRequest is the last call whose state
	// was announced.
	requests         atomic.Uint64
	mu               sync.Mutex
	announcedRequest uint64
}

func newAnnouncer(node string, announcement func(time.Time) seamtarget.Announcement) *announcer {
	return &announcer{
		node:         node,
		announcement: announcement,
		client:       &http.Client{Timeout: announceTimeout},
	}
}

// run announces until ctx ends and then withdraws the announcement.
func (a *announcer) run(ctx context.Context) {
	defer a.withdraw()
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		a.announceNow()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceNow sends an announcement immediately, and returns when the node has responded or
// after announceTimeout. Concurrent calls share an announcement.
func (a *announcer) announceNow() {
	if a.node == "" {
		return
	}
	request := a.requests.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announcedRequest >= request {
		return
	}
	a.announcedRequest = a.requests.Load()
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
