package stand

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Callers send requests to the nodes at a steady rate until Stop.
type Callers struct {
	Record *Record
	// Host and Path are those of the route.
	Host, Path string
	// Rate is the number of requests a second, and Deadline the time that the callers wait.
	Rate     int
	Deadline time.Duration
	Keyed    bool

	Sent, Served atomic.Int64

	mu      sync.Mutex
	nodes   []*Node
	stopped bool
	running sync.WaitGroup
}

// Use sets the nodes that get the next requests.
func (c *Callers) Use(nodes ...*Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = nodes
}

// Start begins to send.
func (c *Callers) Start() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}
	go func() {
		for number := 1; ; number++ {
			time.Sleep(time.Second / time.Duration(c.Rate))
			c.mu.Lock()
			if c.stopped {
				c.mu.Unlock()
				return
			}
			node := c.nodes[number%len(c.nodes)]
			c.running.Go(func() { c.send(client, node, number) })
			c.mu.Unlock()
		}
	}()
}

// Stop ends the sending and waits for the requests that run.
func (c *Callers) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.running.Wait()
}

func (c *Callers) send(client *http.Client, node *Node, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	id := fmt.Sprintf("%016x", number)
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Ingress+c.Path+"x", nil)
	r.Host = c.Host
	r.Header.Set("Cardamomseam-Request-Id", id)
	r.Header.Set("Cardamomseam-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	key := rand.IntN(keys)
	if c.Keyed {
		r.Header.Set("Cardamomseam-Shard-Key", strconv.Itoa(key))
	}
	c.Sent.Add(1)
	c.Record.Add("sent request=%s node=%s key=%d", id, node.Name, key)
	res, err := client.Do(r)
	if err != nil {
		c.Record.Add("failed request=%s error=%v", id, err)
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	c.Record.Add("answered request=%s status=%d body=%q error=%v", id, res.StatusCode, body, err)
	if err == nil && res.StatusCode == http.StatusOK {
		c.Served.Add(1)
	}
}
