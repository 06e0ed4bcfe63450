package seamproxy

import (
	"net"
	"sync"
	"time"
)

const (
	// pieceSize is the largest piece of a connection's bytes that is delayed as one.
	pieceSize = 32 << 10
	// pieceLimit is the number of pieces on the way in one direction.
	pieceLimit = 256
	// heldPoll is the time between looks at whether a link is whole again.
	heldPoll    = 5 * time.Millisecond
	dialTimeout = 2 * time.Second
)

// pair is one relayed connection.
type pair struct {
	from, to Location
	client   net.Conn
	server   net.Conn
	done     chan struct{}
	once     sync.Once
}

func (x *pair) close() {
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
	x := &pair{from: from, to: r.node.Location, client: client, server: server, done: make(chan struct{})}
	if !p.track(x) {
		x.close()
		return
	}
	defer p.forget(x)
	var running sync.WaitGroup
	running.Go(func() { p.pump(x, client, server, x.from, x.to) })
	running.Go(func() { p.pump(x, server, client, x.to, x.from) })
	running.Wait()
	x.close()
}

// piece is some bytes and the time at which they arrive.
type piece struct {
	body []byte
	due  time.Time
}

// pump relays one direction of a connection.
func (p *Proxy) pump(x *pair, from, to net.Conn, source, destination Location) {
	pieces := make(chan piece, pieceLimit)
	go p.readPieces(x, from, pieces, source, destination)
	for q := range pieces {
		if !p.deliver(x, to, q, source, destination) {
			x.close()
			return
		}
	}
	closeWrite(to)
}

// closeWrite passes the end of one direction on, so that half-closed connections stay so.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (p *Proxy) readPieces(x *pair, from net.Conn, pieces chan<- piece, source, destination Location) {
	defer close(pieces)
	var last time.Time
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			last = p.due(time.Now(), last, n, p.network.Link(source, destination))
			select {
			case pieces <- piece{body: append([]byte(nil), buffer[:n]...), due: last}:
			case <-x.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// due returns the time at which n bytes arrive, never before the bytes read earlier.
func (p *Proxy) due(now, last time.Time, n int, l Link) time.Time {
	delay, lost := p.network.draw(l)
	if lost {
		delay += RetransmitDelay
	}
	due := now.Add(delay)
	if due.Before(last) {
		due = last
	}
	if l.Rate > 0 {
		due = due.Add(time.Duration(float64(n) / float64(l.Rate) * float64(time.Second)))
	}
	return due
}

// deliver writes a piece when it is due and the link is whole.
func (p *Proxy) deliver(x *pair, to net.Conn, q piece, source, destination Location) bool {
	if !x.wait(time.Until(q.due)) {
		return false
	}
	for p.network.Link(source, destination).Blocked {
		if !x.wait(heldPoll) {
			return false
		}
	}
	_, err := to.Write(q.body)
	return err == nil
}

func (x *pair) wait(d time.Duration) bool {
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
