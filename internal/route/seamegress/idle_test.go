package seamegress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// idleTimeout is the time after which closeWhenIdle closes an idle connection.
const idleTimeout = time.Second

// closeWhenIdle answers the requests on a connection and states its idle timeout. A request that arrives later than that
// crosses the close of the connection.
func closeWhenIdle(c net.Conn) {
	r := bufio.NewReader(c)
	answer := strings.Replace(okResponse, "\r\n", fmt.Sprintf("\r\nKeep-Alive: timeout=%d\r\n", int(idleTimeout.Seconds())), 1)
	for answered := time.Now(); ; answered = time.Now() {
		if _, err := http.ReadRequest(r); err != nil || time.Since(answered) > idleTimeout {
			return
		}
		fmt.Fprint(c, answer)
	}
}

func TestNoRequestIsSentOnAConnectionThatItsTargetClosesAsIdle(t *testing.T) {
	e := newEgressAt(t, listen(t, closeWhenIdle), 4)
	for n := range byte(2) {
		if end := run(e, request(n, http.MethodPost)); end.Reason != "" {
			t.Errorf("request %d, %v after the target's answer with Keep-Alive: timeout=%d, ended %s (%s): its caller gets 502", n, idleTimeout, int(idleTimeout.Seconds()), end.Reason, end.Detail)
		}
		time.Sleep(idleTimeout + 20*time.Millisecond)
	}
}
