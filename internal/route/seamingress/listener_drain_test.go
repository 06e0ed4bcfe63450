package seamingress_test

import (
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
	c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	if err != nil {
		return false, false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /book HTTP/1.1\r\nHost: booker\r\nContent-Length: 3\r\n\r\nabc")
	answer, _ := io.ReadAll(c)
	return true, strings.HasPrefix(string(answer), "HTTP/1.1 200") && strings.HasSuffix(string(answer), "whole")
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
