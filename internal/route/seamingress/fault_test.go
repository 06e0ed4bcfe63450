package seamingress_test

import (
	"fmt"
	"io"
	"math/rand/v2"
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

// direction is the direction of data through a proxy.
type direction int

const (
	// towardsBack is from the node that connects (front) to the proxied node (back).
	towardsBack direction = iota
	// towardsFront is the reverse direction.
	towardsFront
)

// proxy is a TCP proxy that can be armed to cut or stall a connection once.
type proxy struct {
	to string
	l  net.Listener

	mu sync.Mutex
	// bytesLeft is the number of bytes in each direction, over all connections, until the armed fault happens; -1
	// means that none is armed.
	bytesLeft [2]int
	// stall is the duration of the armed stall; 0 means that the connection is cut instead.
	stall time.Duration
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &proxy{to: to, l: l, bytesLeft: [2]int{-1, -1}}
	go p.accept()
	return p
}

// arm injects one fault after a number of bytes in a direction: a stall of the duration, or a cut if that is 0.
func (p *proxy) arm(d direction, offset int, stall time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesLeft = [2]int{-1, -1}
	p.bytesLeft[d] = offset
	p.stall = stall
}

func (p *proxy) accept() {
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
		go p.forward(out, in, towardsBack)
		go p.forward(in, out, towardsFront)
	}
}

func (p *proxy) forward(to, from net.Conn, d direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		allowed, stall := p.allowance(d, n)
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

// allowance returns how many of n bytes are forwarded before the armed fault, and the duration of its stall.
func (p *proxy) allowance(d direction, n int) (allowed int, stall time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytesLeft[d] < 0 || n < p.bytesLeft[d] {
		if p.bytesLeft[d] > 0 {
			p.bytesLeft[d] -= n
		}
		return n, 0
	}
	allowed = p.bytesLeft[d]
	p.bytesLeft[d] = -1
	if allowed == n {
		// forward injects the fault only if it has bytes left to withhold: withhold the last one.
		allowed = max(n-1, 0)
	}
	return allowed, p.stall
}

// runRecorder is the handler of a target. It counts how often each booking, a request with the header X-Booking, ran.
type runRecorder struct {
	mu   sync.Mutex
	runs map[string]int
	// outcomes counts the outcomes reported to callers.
	outcomes map[string]int
	// refused holds the bookings that were refused and must never run.
	refused []string
}

func newRunRecorder() *runRecorder {
	return &runRecorder{runs: map[string]int{}, outcomes: map[string]int{}}
}

// verifyFinal allows 100 ms for delayed requests to arrive, and then checks that no refused booking ran and that
// none ran twice.
func (rec *runRecorder) verifyFinal(t *testing.T) {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, b := range rec.refused {
		if rec.runs[b] > 0 {
			t.Errorf("%s ran after it was refused", b)
		}
	}
	for b, n := range rec.runs {
		if n > 1 {
			t.Errorf("%s ran %d times", b, n)
		}
	}
	t.Log("outcomes:", rec.outcomes)
}

func (rec *runRecorder) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rec.mu.Lock()
	rec.runs[r.Header.Get("X-Booking")]++
	rec.mu.Unlock()
	fmt.Fprintf(w, "booked %s %s", r.Header.Get("X-Booking"), body)
}

// verify checks the outcome reported to a caller against the number of runs.
func (rec *runRecorder) verify(t *testing.T, booking, want string, got result) {
	t.Helper()
	outcome := got.header.Get(seamheader.Outcome)
	rec.mu.Lock()
	runs := rec.runs[booking]
	rec.outcomes[outcome]++
	if outcome == seamheader.Refused {
		rec.refused = append(rec.refused, booking)
	}
	rec.mu.Unlock()
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times", booking, runs)
	case got.err != nil:
		// A truncated response leaves the outcome unknown, so the request may have run or not.
	case outcome == seamheader.Done && (runs != 1 || got.body != want):
		t.Errorf("%s: outcome done after %d runs, with body %q", booking, runs, got.body)
	case outcome == seamheader.Refused && runs != 0:
		t.Errorf("%s: outcome refused (%s) after %d runs", booking, got.header.Get(seamheader.Reason), runs)
	case outcome == "":
		t.Errorf("%s has no outcome: %d %q", booking, got.status, got.body)
	}
}

// book sends a booking through the node and verifies its outcome.
func (rec *runRecorder) book(t *testing.T, n *node, booking string) result {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, n.url("/book"), strings.NewReader("room"))
	r.Header.Set("X-Booking", booking)
	got := do(t, r)
	rec.verify(t, booking, "booked "+booking+" room", got)
	return got
}

// faultyPair returns the front node of a pair and the proxy through which it reaches the back node.
func faultyPair(t *testing.T, rec *runRecorder) (front *node, p *proxy) {
	front, back := pair(t, rec.serve)
	p = newProxy(t, back.peer.Address)
	proxied := back.peer
	proxied.Address = p.l.Addr().String()
	front.directory.candidates = []seampick.Candidate{{Peer: proxied, Slots: 32}}
	front.rules.decision.Limits.Retries = 2
	return front, p
}

func TestConnectionCutAtEveryOffsetRunsAtMostOnce(t *testing.T) {
	rec := newRunRecorder()
	front, p := faultyPair(t, rec)
	// The session handshake, request and response take fewer bytes than this.
	const bytes, step = 700, 3
	for d := towardsBack; d <= towardsFront; d++ {
		for offset := 0; offset < bytes; offset += step {
			p.arm(d, offset, 0)
			rec.book(t, front, fmt.Sprintf("%d/%d", d, offset))
			time.Sleep(time.Millisecond)
		}
	}
	rec.verifyFinal(t)
	if rec.outcomes[seamheader.Done] == 0 || rec.outcomes[seamheader.Unknown] == 0 {
		t.Errorf("outcomes %v: want at least one done and one unknown", rec.outcomes)
	}
}

func TestStalledRequestNeverRunsAfterItsDeadline(t *testing.T) {
	rec := newRunRecorder()
	front, p := faultyPair(t, rec)
	front.rules.decision.Limits.DeadlineMillis = 100
	rec.book(t, front, "warm")
	var ranLate atomic.Int32
	for i := range 8 {
		p.arm(towardsBack, i*40, 300*time.Millisecond)
		booking := fmt.Sprintf("stalled %d", i)
		got := rec.book(t, front, booking)
		time.Sleep(400 * time.Millisecond)
		rec.verify(t, booking, "booked "+booking+" room", got)
		if got.header.Get(seamheader.Outcome) != seamheader.Done {
			rec.mu.Lock()
			ranLate.Add(int32(rec.runs[booking]))
			rec.mu.Unlock()
		}
	}
	if n := ranLate.Load(); n > 0 {
		t.Errorf("%d requests ran although they were stalled beyond their deadline", n)
	}
}

func TestRandomCutsAndStallsUnderLoad(t *testing.T) {
	rec := newRunRecorder()
	front, p := faultyPair(t, rec)
	front.rules.decision.Limits.DeadlineMillis = 500
	const callers, bookingsPerCaller = 8, 150
	stop := make(chan struct{})
	var faults, calls sync.WaitGroup
	faults.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(rand.N(4 * time.Millisecond)):
				stall := time.Duration(rand.IntN(2)) * rand.N(30*time.Millisecond)
				p.arm(direction(rand.IntN(2)), rand.IntN(4000), stall)
			}
		}
	})
	for c := range callers {
		calls.Go(func() {
			for i := range bookingsPerCaller {
				rec.book(t, front, fmt.Sprintf("%d-%d", c, i))
			}
		})
	}
	calls.Wait()
	close(stop)
	faults.Wait()
	rec.verifyFinal(t)
}
