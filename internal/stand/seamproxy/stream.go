package seamproxy

import (
	"net"
	"sync"
	"time"
)

const (
	// maxChunkSize is the maximum size of a chunk, in bytes. Delay and loss apply to whole chunks.
	maxChunkSize = 32 << 10
	// maxQueuedChunks is the maximum number of chunks in transit in one direction.
	maxQueuedChunks = 256
	// blockedPollInterval is the time between checks whether a link is still blocked.
	blockedPollInterval = 5 * time.Millisecond
	dialTimeout         = 2 * time.Second
)

// connPair is a relayed connection: the client's connection to the proxy and the proxy's connection to
// the node.
type connPair struct {
	// from is the location of the client, to that of the node.
	from, to Location
	client   net.Conn
	server   net.Conn
	done     chan struct{}
	once     sync.Once
}

func (c *connPair) close() {
	c.once.Do(func() {
		close(c.done)
		c.client.Close()
		c.server.Close()
	})
}

func (p *Proxy) accept(r *relay) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(r, c)
	}
}

func (p *Proxy) connect(r *relay, client net.Conn) {
	from := p.resolver.Resolve(client.RemoteAddr(), client.LocalAddr())
	server, err := net.DialTimeout("tcp", r.node.Listen, dialTimeout)
	if err != nil {
		client.Close()
		return
	}
	pair := &connPair{from: from, to: r.node.Location, client: client, server: server, done: make(chan struct{})}
	if !p.track(pair) {
		pair.close()
		return
	}
	defer p.untrack(pair)
	var relays sync.WaitGroup
	relays.Go(func() { p.relayStream(pair, client, server, pair.from, pair.to) })
	relays.Go(func() { p.relayStream(pair, server, client, pair.to, pair.from) })
	relays.Wait()
	pair.close()
}

// chunk is a part of a byte stream and its simulated arrival time.
type chunk struct {
	body    []byte
	arrival time.Time
}

// relayStream relays one direction of a connection, and closes the write side of to when from ends.
func (p *Proxy) relayStream(pair *connPair, from, to net.Conn, source, destination Location) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.readChunks(pair, from, chunks, source, destination)
	for c := range chunks {
		if !p.deliver(pair, to, c, source, destination) {
			pair.close()
			return
		}
	}
	closeWrite(to)
}

// closeWrite closes the write side of a TCP connection, so that a half-closed connection is
// relayed as such.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (p *Proxy) readChunks(pair *connPair, from net.Conn, chunks chan<- chunk, source, destination Location) {
	defer close(chunks)
	var lastArrival time.Time
	buffer := make([]byte, maxChunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			lastArrival = p.arrivalTime(time.Now(), lastArrival, n, p.network.Link(source, destination))
			select {
			case chunks <- chunk{body: append([]byte(nil), buffer[:n]...), arrival: lastArrival}:
			case <-pair.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// arrivalTime returns the time at which n bytes arrive over the link. Bytes arrive in order, so that it
// is never before lastArrival, the arrival time of the preceding bytes. Lost bytes arrive later by
// RetransmitDelay.
func (p *Proxy) arrivalTime(now, lastArrival time.Time, n int, l Link) time.Time {
	delay, lost := p.network.sample(l)
	if lost {
		delay += RetransmitDelay
	}
	arrival := now.Add(delay)
	if arrival.Before(lastArrival) {
		arrival = lastArrival
	}
	if l.Rate > 0 {
		arrival = arrival.Add(time.Duration(float64(n) / float64(l.Rate) * float64(time.Second)))
	}
	return arrival
}

// deliver writes a chunk to the connection once its arrival time is reached and the link is not
// blocked. It returns false if the connection is closed.
func (p *Proxy) deliver(pair *connPair, to net.Conn, c chunk, source, destination Location) bool {
	if !pair.wait(time.Until(c.arrival)) {
		return false
	}
	for p.network.Link(source, destination).Blocked {
		if !pair.wait(blockedPollInterval) {
			return false
		}
	}
	_, err := to.Write(c.body)
	return err == nil
}

// wait waits for the duration and returns false if the pair is closed before it ends.
func (c *connPair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.done:
		return false
	}
}
