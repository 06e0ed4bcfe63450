package seamproxy

import (
	"net"
	"sync"
	"time"
)

const (
	// maxChunkSize is the maximum size in bytes of a chunk, the unit of delay and loss.
	maxChunkSize = 32 << 10
	// maxQueuedChunks is the maximum number of chunks in transit in one direction.
	maxQueuedChunks = 256
	// blockedPollInterval is the time between checks whether a link is still blocked.
	blockedPollInterval = 5 * time.Millisecond
	dialTimeout         = 2 * time.Second
)

// connPair is a relayed connection: the client's connection and that to the node.
type connPair struct {
	from, to Location
	client   net.Conn
	server   net.Conn
	done     chan struct{}
	once     sync.Once
}

func (x *connPair) close() {
	x.once.Do(func() {
		close(x.done)
		x.client.Close()
		x.server.Close()
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
	x := &connPair{from: from, to: r.node.Location, client: client, server: server, done: make(chan struct{})}
	if !p.track(x) {
		x.close()
		return
	}
	defer p.untrack(x)
	var running sync.WaitGroup
	running.Go(func() { p.relayStream(x, client, server, x.from, x.to) })
	running.Go(func() { p.relayStream(x, server, client, x.to, x.from) })
	running.Wait()
	x.close()
}

// chunk is a part of a byte stream and its simulated arrival time.
type chunk struct {
	body    []byte
	arrival time.Time
}

// relayStream relays one direction of a connection.
func (p *Proxy) relayStream(x *connPair, from, to net.Conn, source, destination Location) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.readChunks(x, from, chunks, source, destination)
	for q := range chunks {
		if !p.deliver(x, to, q, source, destination) {
			x.close()
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

func (p *Proxy) readChunks(x *connPair, from net.Conn, chunks chan<- chunk, source, destination Location) {
	defer close(chunks)
	var last time.Time
	buffer := make([]byte, maxChunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			last = p.arrivalTime(time.Now(), last, n, p.network.Link(source, destination))
			select {
			case chunks <- chunk{body: append([]byte(nil), buffer[:n]...), arrival: last}:
			case <-x.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// arrivalTime returns the time at which n bytes arrive. It is never before last, the arrival of
// the bytes before them.
func (p *Proxy) arrivalTime(now, last time.Time, n int, l Link) time.Time {
	delay, lost := p.network.sample(l)
	if lost {
		delay += RetransmitDelay
	}
	arrival := now.Add(delay)
	if arrival.Before(last) {
		arrival = last
	}
	if l.Rate > 0 {
		arrival = arrival.Add(time.Duration(float64(n) / float64(l.Rate) * float64(time.Second)))
	}
	return arrival
}

// deliver writes a chunk once its arrival time is reached and the link is not blocked. It
// returns false if the connection is closed.
func (p *Proxy) deliver(x *connPair, to net.Conn, q chunk, source, destination Location) bool {
	if !x.wait(time.Until(q.arrival)) {
		return false
	}
	for p.network.Link(source, destination).Blocked {
		if !x.wait(blockedPollInterval) {
			return false
		}
	}
	_, err := to.Write(q.body)
	return err == nil
}

func (x *connPair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.done:
		return false
	}
}
