package seamingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seampick"
)

// direction is a way through a proxy.
type direction int

const (
	toBack direction = iota
	toFront
)

// proxy passes connections on until it is armed to cut or to stall them.
type proxy struct {
	to string
	l  net.Listener

	mu sync.Mutex
	// left is the number of bytes in each direction after which something happens; -1 is never.
	left  [2]int
	stall time.Duration
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &proxy{to: to, l: l, left: [2]int{-1, -1}}
	go p.listen()
	return p
}

// arm lets the proxy act after so many bytes: it cuts, or stalls if a time is given.
func (p *proxy) arm(d direction, after int, stall time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = [2]int{-1, -1}
	p.left[d] = after
	p.stall = stall
}

func (p *proxy) listen() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			in.Close()
			continue
		}
		go p.pass(out, in, toBack)
		go p.pass(in, out, toFront)
	}
}

func (p *proxy) pass(to, from net.Conn, d direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		allowed, stall := p.take(d, n)
		if _, err := to.Write(buf[:allowed]); err != nil {
			return
		}
		if allowed < n {
			if stall == 0 {
				return
			}
			time.Sleep(stall)
			if _, err := to.Write(buf[allowed:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// take returns how many of n bytes pass before something happens.
func (p *proxy) take(d direction, n int) (allowed int, stall time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left[d] < 0 || n < p.left[d] {
		if p.left[d] > 0 {
			p.left[d] -= n
		}
		return n, 0
	}
	allowed = p.left[d]
	p.left[d] = -1
	if allowed == n {
		// Something happens after the last byte: hold back none, but act.
		allowed = max(n-1, 0)
	}
	return allowed, p.stall
}

// ledger counts the runs of each booking at the targets.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	l.runs[r.Header.Get("X-Booking")]++
	l.mu.Unlock()
	fmt.Fprintf(w, "booked %s %s", r.Header.Get("X-Booking"), body)
}

// check judges what a caller was told by what ran.
func (l *ledger) check(t *testing.T, booking, want string, got result) {
	t.Helper()
	l.mu.Lock()
	runs := l.runs[booking]
	l.mu.Unlock()
	outcome := got.header.Get(seamheader.Outcome)
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times", booking, runs)
	case got.err != nil:
		// A cut answer says nothing, as unknown does.
	case outcome == seamheader.Done && (runs != 1 || got.body != want):
		t.Errorf("%s is done with %d runs and %q", booking, runs, got.body)
	case outcome == seamheader.Refused && runs != 0:
		t.Errorf("%s is refused (%s) with %d runs", booking, got.header.Get(seamheader.Reason), runs)
	case outcome == "":
		t.Errorf("%s has no outcome: %d %q", booking, got.status, got.body)
	}
}

func (l *ledger) book(t *testing.T, n *node, booking string) result {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, n.url("/book"), strings.NewReader("room"))
	r.Header.Set("X-Booking", booking)
	got := do(t, r)
	l.check(t, booking, "booked "+booking+" room", got)
	return got
}

// faultyPair is a pair with a proxy between its nodes.
func faultyPair(t *testing.T, l *ledger) (front *node, p *proxy) {
	front, back := pair(t, l.serve)
	p = newProxy(t, back.peer.Address)
	behind := back.peer
	behind.Address = p.l.Addr().String()
	front.directory.candidates = []seampick.Candidate{{Peer: behind, Slots: 32}}
	front.rules.choice.Limits.Retries = 2
	return front, p
}

func TestCutAtEveryByteRunsAtMostOnce(t *testing.T) {
	l := &ledger{runs: map[string]int{}}
	front, p := faultyPair(t, l)
	// A session's introduction, request and answer take fewer bytes than this.
	const bytes, step = 700, 3
	told := map[string]int{}
	for d := toBack; d <= toFront; d++ {
		for after := 0; after < bytes; after += step {
			p.arm(d, after, 0)
			got := l.book(t, front, fmt.Sprintf("%d/%d", d, after))
			told[got.header.Get(seamheader.Outcome)]++
			time.Sleep(time.Millisecond)
		}
	}
	if told[seamheader.Done] == 0 || told[seamheader.Unknown] == 0 {
		t.Errorf("outcomes %v: the cuts did not hit", told)
	}
	t.Log("outcomes:", told)
}

func TestStalledRequestIsNeverRunAfterItsDeadline(t *testing.T) {
	l := &ledger{runs: map[string]int{}}
	front, p := faultyPair(t, l)
	front.rules.choice.Limits.Deadline = 100
	l.book(t, front, "warm")
	var late atomic.Int32
	for i := range 8 {
		p.arm(toBack, i*40, 300*time.Millisecond)
		booking := fmt.Sprintf("stalled %d", i)
		got := l.book(t, front, booking)
		time.Sleep(400 * time.Millisecond)
		l.check(t, booking, "booked "+booking+" room", got)
		if got.header.Get(seamheader.Outcome) != seamheader.Done {
			l.mu.Lock()
			late.Add(int32(l.runs[booking]))
			l.mu.Unlock()
		}
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests ran after their deadline", n)
	}
}
