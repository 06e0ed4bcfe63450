package seamingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// TestAnswerOfAPeerWithoutAStatusIsNotForwarded guards against a head of a faulty node that ends the handler of the caller's request, or that
// the caller gets as a response.
func TestAnswerOfAPeerWithoutAStatusIsNotForwarded(t *testing.T) {
	for _, status := range []int32{-200, 0, 1, 99, 100, 101, 199, 600, 999, 1000} {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d/%v", status, whole), func(t *testing.T) {
				sendToScript(t, func(to net.Conn, head *seamroutewire.RequestHead) {
					_ = seamframe.Write(to, seamframe.AnswerHead, &seamroutewire.AnswerHead{Attempt: head.Attempt, Status: status, Whole: whole})
					_ = seamframe.Write(to, seamframe.AnswerEnd, &seamroutewire.AnswerEnd{Attempt: head.Attempt, Outcome: "done"})
				}).expect(t, 502, seamoutcome.Unknown, seamoutcome.Lost)
			})
		}
	}
}

// TestWholeAnswerOfAPeerIsShort guards against a node that makes another one buffer a body without end.
func TestWholeAnswerOfAPeerIsShort(t *testing.T) {
	for _, length := range []int64{-1, 1 << 40} {
		sendToScript(t, func(to net.Conn, head *seamroutewire.RequestHead) {
			_ = seamframe.Write(to, seamframe.AnswerHead, &seamroutewire.AnswerHead{Attempt: head.Attempt, Status: 200, Whole: true, Length: length})
			_ = seamframe.Write(to, seamframe.AnswerEnd, &seamroutewire.AnswerEnd{Attempt: head.Attempt, Outcome: "done"})
		}).expect(t, 502, seamoutcome.Unknown, seamoutcome.Lost)
	}
}

// TestBrokenResponseIsNotWholeInHTTP10 guards against the start of a response that a caller takes for the whole: the body of a response in
// HTTP/1.0 ends where the connection does.
func TestBrokenResponseIsNotWholeInHTTP10(t *testing.T) {
	front, back := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "room")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	back.directory.candidates = front.directory.candidates
	for _, n := range []*node{front, back} {
		for _, rest := range []string{"", "GET /next HTTP/1.0\r\n"} {
			c := connect(t, n)
			fmt.Fprint(c, "GET /page HTTP/1.0\r\nHost: x\r\nSeam-Service: booker\r\n\r\n"+rest)
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(c)
			if err == nil {
				t.Errorf("with %q unread: the caller got %q to its end", rest, got)
			}
		}
	}
}

// TestUploadWhoseTargetResetsGetsNoWholeResponse guards against a partial response that a caller takes for the whole, through one node and two.
func TestUploadWhoseTargetResetsGetsNoWholeResponse(t *testing.T) {
	const length = 32 << 20
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			front, back := pair(t, func(http.ResponseWriter, *http.Request) {})
			back.directory.candidates = front.directory.candidates
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			back.target.announced.Address = l.Addr().String()
			go resetUploads(l, version+" 200 OK\r\n\r\nroom")
			for _, n := range []*node{front, back} {
				for range 4 {
					c := connect(t, n)
					go func() {
						fmt.Fprintf(c, "POST /photo %s\r\nHost: x\r\nSeam-Service: booker\r\nContent-Length: %d\r\n\r\n", version, length)
						_, _ = io.CopyN(c, zeros{}, length)
					}()
					_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
					res, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						continue
					}
					body, err := io.ReadAll(res.Body)
					res.Body.Close()
					if err == nil && res.StatusCode == http.StatusOK {
						t.Errorf("node %s: the caller got %q to its end", n.peer.Name, body)
					}
				}
			}
		})
	}
}

// zeros reads as zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// resetUploads answers the head of each request with the response, reads a part of the body and resets the connection.
func resetUploads(l net.Listener, response string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			fmt.Fprint(c, response)
			_, _ = io.CopyN(io.Discard, c, 1<<20)
			_ = c.(*net.TCPConn).SetLinger(0)
		}()
	}
}
