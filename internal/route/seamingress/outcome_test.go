package seamingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/route/seamstop"
	"cardamomseam/internal/rule/seamrule"
)

// keyError is an error of the rules that determines the status and reason of the response.
type keyError struct{}

func (keyError) Error() string  { return "no key" }
func (keyError) Status() int    { return http.StatusBadRequest }
func (keyError) Reason() string { return string(seamoutcome.Key) }

func (r result) expect(t *testing.T, status int, outcome seamoutcome.Outcome, reason seamoutcome.Reason) {
	t.Helper()
	got := fmt.Sprint(r.status, " ", r.header.Get(seamheader.Outcome), " ", r.header.Get(seamheader.Reason))
	if want := fmt.Sprint(status, " ", outcome, " ", reason); got != want {
		t.Errorf("got %q, want %q (%s, %v)", got, want, strings.TrimSpace(r.body), r.err)
	}
}

func TestBadInputIsRefused(t *testing.T) {
	front, _ := pair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	for _, tt := range []struct {
		name   string
		change func(r *http.Request)
		err    error
		status int
		reason seamoutcome.Reason
	}{
		{"key", func(*http.Request) {}, keyError{}, 400, seamoutcome.Key},
		{"no rules", func(*http.Request) {}, io.ErrUnexpectedEOF, 503, seamoutcome.Rules},
		{"headers", func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 40<<10)) }, nil, 431, seamoutcome.Headers},
		{"upgrade", func(r *http.Request) { r.Header.Set("Upgrade", "websocket") }, nil, 501, seamoutcome.Upgrade},
		{"deadline", func(r *http.Request) { r.Header.Set(seamheader.Deadline, "soon") }, nil, 400, seamoutcome.Malformed},
		{"expired", func(r *http.Request) { r.Header.Set(seamheader.Deadline, "0") }, nil, 504, seamoutcome.Expired},
		{"id", func(r *http.Request) { r.Header.Set(seamheader.Request, strings.Repeat("x", 300)) }, nil, 400, seamoutcome.Malformed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			front.rules.err = tt.err
			r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
			tt.change(r)
			do(t, r).expect(t, tt.status, seamoutcome.Refused, tt.reason)
		})
	}
}

func TestUnfinishedBodyIsRefused(t *testing.T) {
	front, _ := pair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	front.rules.decision.Limits.DeadlineMillis = 100
	for _, tt := range []struct {
		name   string
		length int
		status int
		reason seamoutcome.Reason
	}{
		{"slow", 10, 408, seamoutcome.Slow},
		{"large", 1 << 40, 413, seamoutcome.Large},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", front.server.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /book HTTP/1.1\r\nHost: booker\r\nContent-Length: %d\r\n\r\nabc", tt.length)
			conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			result{status: res.StatusCode, header: res.Header}.expect(t, tt.status, seamoutcome.Refused, tt.reason)
		})
	}
}

func TestFullTargetRefusesImmediatelyWithRetryAfter(t *testing.T) {
	release := make(chan struct{})
	front, back := pair(t, func(http.ResponseWriter, *http.Request) { <-release })
	back.target.announced.MaxConcurrency = 1
	front.rules.decision.Limits.QueueLength = 1
	post := func() result {
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
		return do(t, r)
	}
	done := make(chan result, 2)
	for range 2 {
		go func() { done <- post() }()
	}
	for load := back.egress.Load(); load.Running < 1 || load.Queued < 1; load = back.egress.Load() {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	got := post()
	got.expect(t, 429, seamoutcome.Refused, seamoutcome.Full)
	if d := time.Since(start); d > 500*time.Millisecond {
		t.Errorf("the refusal took %v", d)
	}
	if got.header.Get("Retry-After") == "" || got.header.Get(seamheader.After) == "" {
		t.Errorf("headers %v", got.header)
	}
	close(release)
	for range 2 {
		(<-done).expect(t, 200, seamoutcome.Done, "")
	}
}

func TestDuplicateIsNotRunAgain(t *testing.T) {
	l := newRunRecorder()
	front, back := pair(t, l.serve)
	back.directory.candidates = front.directory.candidates
	for i, n := range []*node{front, back, front} {
		r, _ := http.NewRequest(http.MethodPost, n.url("/book"), nil)
		r.Header.Set(seamheader.Request, "visit 7")
		r.Header.Set("X-Booking", "visit 7")
		got := do(t, r)
		if i == 0 {
			got.expect(t, 200, seamoutcome.Done, "")
			continue
		}
		got.expect(t, 409, seamoutcome.Unknown, seamoutcome.Duplicate)
	}
	if n := l.runs["visit 7"]; n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func TestRequestWithIDIsServedByAnotherRegion(t *testing.T) {
	front, _ := pair(t, echo)
	front.directory.candidates[0].Peer.Region = "west"
	for _, name := range []string{"visit 8", "west/visit 8", "nowhere/visit 8"} {
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
		r.Header.Set(seamheader.Request, name)
		do(t, r).expect(t, 200, seamoutcome.Done, "")
	}
}

func TestRequestMovesFromDrainingNodeToAnother(t *testing.T) {
	front, back := pair(t, echo)
	other := newNode(t, "other", echo)
	front.directory.candidates = append(front.directory.candidates, seampick.Candidate{Peer: other.peer, Slots: 32})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := back.egress.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), strings.NewReader(strings.Repeat("x", 1+i*10_000)))
		got := do(t, r)
		got.expect(t, 200, seamoutcome.Done, "")
		if s := got.header.Get(seamheader.Server); s != "other" {
			t.Errorf("served by %q", s)
		}
	}
}

func TestOwnerHintIsFollowedAndLearned(t *testing.T) {
	front, back := pair(t, echo)
	other := newNode(t, "other", echo)
	front.rules.decision.Keyed = true
	front.directory.owner = other.peer
	other.owners.otherOwner = back.peer.Address
	r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
	got := do(t, r)
	got.expect(t, 200, seamoutcome.Done, "")
	if s := got.header.Get(seamheader.Server); s != "back" {
		t.Errorf("served by %q", s)
	}
	if p, _ := front.directory.Owner("booker", 0); !p.Same(back.peer) {
		t.Errorf("learned %v", p)
	}
}

func TestRequestUnderExpiredGrantIsRefused(t *testing.T) {
	front, back := pair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the target") })
	front.rules.decision.Keyed = true
	front.directory.owner = back.peer
	back.target.announced.Capabilities = []string{"fence"}
	back.owners.leaseDuration = -time.Millisecond
	r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
	do(t, r).expect(t, 503, seamoutcome.Refused, seamoutcome.Owner)
}

func TestRefusalByTarget(t *testing.T) {
	for _, tt := range []struct {
		status int
		reason seamoutcome.Reason
	}{{409, seamoutcome.Fenced}, {503, seamoutcome.Shed}} {
		front, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(seamheader.Outcome, seamheader.Refused)
			w.WriteHeader(tt.status)
		})
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
		do(t, r).expect(t, 503, seamoutcome.Refused, tt.reason)
	}
}

// TestBrokenTarget checks requests whose target closes the connection before the response (/none), within a short
// body (/short) or within a long one (/part). Only the idempotent GET is retried.
func TestBrokenTarget(t *testing.T) {
	var tries atomic.Int32
	front, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/part" {
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 50_000))
		}
		if r.URL.Path == "/short" {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(make([]byte, 50))
		}
		if tries.Add(1) > 1 && r.Method == http.MethodGet {
			return
		}
		panic(http.ErrAbortHandler)
	})
	front.rules.decision.Limits.Retries = 2
	for _, path := range []string{"/none", "/short"} {
		r, _ := http.NewRequest(http.MethodPost, front.url(path), nil)
		do(t, r).expect(t, 502, seamoutcome.Unknown, seamoutcome.Broken)
	}
	if n := tries.Load(); n != 2 {
		t.Errorf("two bookings were attempted %d times", n)
	}
	r, _ := http.NewRequest(http.MethodPost, front.url("/part"), nil)
	if got := do(t, r); got.err == nil {
		t.Errorf("a truncated response was delivered as complete: %d, %d bytes", got.status, len(got.body))
	}
	tries.Store(0)
	r, _ = http.NewRequest(http.MethodGet, front.url("/none"), nil)
	do(t, r).expect(t, 200, seamoutcome.Done, "")
}

func TestTimeoutOfStartedRequestIsUnknown(t *testing.T) {
	stopped := make(chan struct{})
	front, _ := pair(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(stopped) })
	r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
	r.Header.Set(seamheader.Deadline, "100")
	start := time.Now()
	do(t, r).expect(t, 504, seamoutcome.Unknown, seamoutcome.Timeout)
	if d := time.Since(start); d > 500*time.Millisecond {
		t.Errorf("the response took %v", d)
	}
	<-stopped
}

func TestCallerDisconnectCancelsItsRequest(t *testing.T) {
	running, stopped := make(chan struct{}), make(chan struct{})
	front, _ := pair(t, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, front.url("/book"), nil)
	go do(t, r)
	<-running
	disconnect()
	select {
	case <-stopped:
	case <-time.After(time.Second):
		t.Error("the request was not canceled at the target")
	}
}

func TestEgressDrainInterruptsNoRequest(t *testing.T) {
	running := make(chan struct{})
	signalRunning := sync.OnceFunc(func() { close(running) })
	front, back := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		signalRunning()
		time.Sleep(30 * time.Millisecond)
		fmt.Fprint(w, "whole")
	})
	results := make(chan result, 200)
	go func() {
		defer close(results)
		var wg sync.WaitGroup
		for range cap(results) {
			r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
			wg.Go(func() { results <- do(t, r) })
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
	}()
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := back.egress.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	if n := back.egress.InFlight(); n != 0 {
		t.Errorf("%d requests in flight after the drain", n)
	}
	outcomes := map[string]int{}
	for got := range results {
		outcomes[got.header.Get(seamheader.Outcome)]++
		if got.err != nil || got.status == 200 && got.body != "whole" {
			t.Errorf("got %d %q %v", got.status, got.body, got.err)
		}
	}
	if outcomes[seamheader.Unknown] > 0 || outcomes[seamheader.Done] == 0 || outcomes[seamheader.Refused] == 0 {
		t.Errorf("outcomes %v", outcomes)
	}
}

func TestIngressDrainFinishesRequests(t *testing.T) {
	front, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		fmt.Fprint(w, "whole")
	})
	done := make(chan result, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
		done <- do(t, r)
	}()
	time.Sleep(50 * time.Millisecond)
	if err := front.server.Drain(t.Context(), 10*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if got := <-done; got.body != "whole" {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

// TestDrainAnswersRequestsItCancels checks that a node that shuts down responds to the callers whose requests it
// cancels before it closes their connections.
func TestDrainAnswersRequestsItCancels(t *testing.T) {
	for _, tt := range []struct {
		name   string
		local  bool
		slots  int
		reason seamoutcome.Reason
		status int
	}{
		{"runs at another node", false, 32, seamoutcome.Lost, 502},
		{"runs at the target of this node", true, 32, seamoutcome.Lost, 502},
		{"waits in the queue", true, 1, seamoutcome.Draining, 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			var running atomic.Int32
			front, back := pair(t, func(http.ResponseWriter, *http.Request) {
				running.Add(1)
				<-release
			})
			if tt.local {
				front = back
				front.directory.candidates = []seampick.Candidate{{Peer: back.peer, Slots: 32}}
			}
			back.target.announced.MaxConcurrency = tt.slots
			results := make(chan result, 2)
			for range 2 {
				go func() {
					r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
					results <- do(t, r)
				}()
			}
			for back.egress.InFlight() < 2 || int(running.Load()) < min(2, tt.slots) {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if deadline, _ := ctx.Deadline(); tt.local {
				// As the node does that drains its ingress and its egress.
				back.egress.PlanStop(seamstop.Plan{Limit: deadline.Add(-seamingress.FinalResponseMargin)})
			}
			if err := front.server.Drain(ctx, 10*time.Millisecond); err != nil {
				t.Error(err)
			}
			found := false
			for range 2 {
				got := <-results
				if got.err != nil {
					t.Errorf("a caller got no response: %v", got.err)
				}
				if got.status == tt.status && got.header.Get(seamheader.Reason) == string(tt.reason) {
					found = true
				}
			}
			if !found {
				t.Errorf("no caller got the reason %q with status %d", tt.reason, tt.status)
			}
		})
	}
}

// scriptedSessions opens streams to a fake node. The function writes the frames with which the node responds to a request.
type scriptedSessions func(to net.Conn, head *seamroutewire.RequestHead)

func (f scriptedSessions) Open(context.Context, seampeer.Peer, seamsession.Kind) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		reader, done := seamframe.NewReader(far)
		defer done()
		head := new(seamroutewire.RequestHead)
		if reader.ReadMessage(seamframe.RequestHead, head) != nil {
			return
		}
		_, _ = reader.Next()
		f(far, head)
	}()
	return near, nil
}

func (f scriptedSessions) OpenWithin(ctx context.Context, to seampeer.Peer, k seamsession.Kind, _ func(seampeer.Peer) bool) (net.Conn, error) {
	return f.Open(ctx, to, k)
}

// sendToScript sends a request through a node whose only peer runs the script.
func sendToScript(t *testing.T, script scriptedSessions) result {
	t.Helper()
	peer := seampeer.Peer{Name: "front", Incarnation: 1, Region: "ost", Domain: "ost-1"}
	rules := &fakeRules{decision: seamrule.Decision{Limits: seamrule.Limits{DeadlineMillis: 200}}}
	directory := &fakeDirectory{candidates: []seampick.Candidate{{Peer: seampeer.Peer{Name: "back", Incarnation: 1, Address: "x"}, Slots: 1}}}
	in := seamingress.New(seamingress.Config{Address: "127.0.0.1:0"}, peer, rules, directory, script, nil, metrics.NewSet(), seamevent.NewStream("front"))
	server, err := in.Serve()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	r, _ := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/book", nil)
	return do(t, r)
}

func TestResponseToAnotherAttemptIsNotForwarded(t *testing.T) {
	sendToScript(t, func(to net.Conn, head *seamroutewire.RequestHead) {
		wrong := &seamroutewire.AnswerHead{Attempt: head.Attempt + 1, Status: 200, Whole: true}
		_ = seamframe.Write(to, seamframe.AnswerHead, wrong)
		_ = seamframe.Write(to, seamframe.AnswerEnd, &seamroutewire.AnswerEnd{Attempt: head.Attempt + 1, Outcome: "done"})
	}).expect(t, 502, seamoutcome.Unknown, seamoutcome.Lost)
}

// TestShutdownOfAnotherNodeIsNotReportedAsCallerDisconnect checks the reason that a connected caller gets when the
// other node shuts down, which ends its requests as if their callers had disconnected.
func TestShutdownOfAnotherNodeIsNotReportedAsCallerDisconnect(t *testing.T) {
	for _, tt := range []struct {
		end    seamoutcome.End
		status int
		want   seamoutcome.Outcome
		reason seamoutcome.Reason
	}{
		{seamoutcome.NewUnknown(seamoutcome.Cancelled, "canceled"), 502, seamoutcome.Unknown, seamoutcome.Lost},
		{seamoutcome.NewRefused(seamoutcome.Gone, "in the queue"), 503, seamoutcome.Refused, seamoutcome.Draining},
	} {
		t.Run(string(tt.end.Reason), func(t *testing.T) {
			sendToScript(t, func(to net.Conn, head *seamroutewire.RequestHead) {
				_ = seamframe.Write(to, seamframe.AnswerEnd, seamcall.EncodeEnd(head, tt.end))
			}).expect(t, tt.status, tt.want, tt.reason)
		})
	}
}

func TestRefusedRetryDoesNotHideAnAttemptThatRan(t *testing.T) {
	var back *node
	front, back := pair(t, func(http.ResponseWriter, *http.Request) {
		back.target.mu.Lock()
		back.target.announced.Leaving = true
		back.target.mu.Unlock()
		panic(http.ErrAbortHandler)
	})
	front.rules.decision.Limits.Retries = 2
	r, _ := http.NewRequest(http.MethodGet, front.url("/page"), nil)
	do(t, r).expect(t, 502, seamoutcome.Unknown, seamoutcome.Broken)
}

func TestResponseBeforeUploadEnds(t *testing.T) {
	front, back := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInsufficientStorage)
		fmt.Fprint(w, "no room")
	})
	back.directory.candidates = front.directory.candidates
	for _, n := range []*node{front, back} {
		for _, size := range []int{10, 20_000, 5_000_000} {
			r, _ := http.NewRequest(http.MethodPost, n.url("/photo"), strings.NewReader(strings.Repeat("x", size)))
			got := do(t, r)
			got.expect(t, 507, seamoutcome.Done, "")
			if got.body != "no room" {
				t.Errorf("%d bytes: %q, %v", size, got.body, got.err)
			}
		}
	}
	if n := back.egress.InFlight(); n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}
