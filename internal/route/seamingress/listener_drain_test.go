package seamingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// bookOnce sends one request on a new connection, and reports whether the connection was established
// and whether the complete response arrived.
func bookOnce(address string) (connected, answered bool) {
	answer, connected := callOnce(address)
	return connected, strings.HasPrefix(answer, "HTTP/1.1 200") && strings.HasSuffix(answer, "whole")
}

// callOnce sends one request on a new connection, and returns the response, and whether the connection was established.
func callOnce(address string) (answer string, connected bool) {
	c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	if err != nil {
		return "", false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /book HTTP/1.1\r\nHost: booker\r\nContent-Length: 3\r\n\r\nabc")
	got, _ := io.ReadAll(c)
	return string(got), true
}

// TestDrainAnswersEachNewConnection checks that a caller whose connection to a draining node was established
// gets a response on it, no matter how late during the drain.
func TestDrainAnswersEachNewConnection(t *testing.T) {
	const rounds, callers = 10, 16
	for round := range rounds {
		front, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })
		address := front.server.Address()
		var calling sync.WaitGroup
		for range callers {
			calling.Go(func() {
				for {
					connected, answered := bookOnce(address)
					if !connected {
						return
					}
					if !answered {
						t.Errorf("round %d: a caller with an established connection got no complete response", round)
						return
					}
				}
			})
		}
		if err := front.server.Drain(t.Context(), 20*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		calling.Wait()
	}
}

// TestDrainServesCallersThatHaveNoOtherNode guards against a closed listener while callers still come: where most nodes of a failure
// domain stop at once, callers are not sent elsewhere.
func TestDrainServesCallersThatHaveNoOtherNode(t *testing.T) {
	const limit = 5 * time.Second
	front, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	start := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- front.server.Drain(ctx, 100*time.Millisecond) }()
	for {
		answer, connected := callOnce(front.server.Address())
		if !connected {
			break
		}
		if !strings.HasPrefix(answer, "HTTP/1.1 200") && !strings.HasPrefix(answer, "HTTP/1.1 503") {
			t.Errorf("a caller with an established connection got %q, want a response or a refusal", answer)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if served := time.Since(start); served < limit/3 {
		t.Errorf("callers were served for %v only, of a stop that may take %v", served, limit)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainWaitsForTheFirstRequest checks that a caller that connected right before the drain
// can still send its first request.
func TestDrainWaitsForTheFirstRequest(t *testing.T) {
	front, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })
	c, err := net.Dial("tcp", front.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	drained := make(chan error, 1)
	go func() { drained <- front.server.Drain(t.Context(), 0) }()
	time.Sleep(150 * time.Millisecond)
	fmt.Fprintf(c, "POST /book HTTP/1.1\r\nHost: booker\r\nContent-Length: 3\r\n\r\nabc")
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if answer, err := io.ReadAll(c); !strings.HasSuffix(string(answer), "whole") {
		t.Errorf("got %q, %v", answer, err)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}
