package seamnet

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// hangupBatch is the number of connections that are reported at a time.
const hangupBatch = 64

// Hangups notices that peers close or reset their connections, also while data that they sent before is unread. It is
// safe for concurrent use.
type Hangups struct {
	epoll *os.File
	conn  syscall.RawConn

	mu sync.Mutex
	// last is the number of the connection that was added last.
	last int32
	// notify maps the numbers of connections to the functions that are called when they are closed.
	notify map[int32]func()
}

// NewHangups returns a Hangups without connections and a function that releases it.
func NewHangups() (*Hangups, func(), error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, nil, errors.Wrap(err, "creating an epoll instance")
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "preparing an epoll instance"), unix.Close(fd))
	}
	epoll := os.NewFile(uintptr(fd), "epoll")
	conn, err := epoll.SyscallConn()
	if err != nil {
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "preparing an epoll instance"), epoll.Close())
	}
	h := &Hangups{epoll: epoll, conn: conn, notify: map[int32]func(){}}
	var running sync.WaitGroup
	running.Go(h.run)
	return h, func() {
		_ = epoll.Close()
		running.Wait()
	}, nil
}

// Watch calls notify, which must not block, once the peer has closed or reset the connection. The connection is
// watched until it is closed at this end; the returned function forgets notify.
func (h *Hangups) Watch(c net.Conn, notify func()) (forget func()) {
	h.mu.Lock()
	h.last++
	number := h.last
	h.notify[number] = notify
	h.mu.Unlock()
	WithFD(c, func(fd int) { h.add(fd, number) })
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.notify, number)
	}
}

// add adds a socket. Errors are ignored: the reads of the connection then tell that it was closed.
func (h *Hangups) add(fd int, number int32) {
	event := &unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLONESHOT, Fd: number}
	_ = h.conn.Control(func(epoll uintptr) { _ = unix.EpollCtl(int(epoll), unix.EPOLL_CTL_ADD, fd, event) })
}

// run notifies until the epoll instance is closed.
func (h *Hangups) run() {
	var events [hangupBatch]unix.EpollEvent
	for {
		count := 0
		err := h.conn.Read(func(fd uintptr) bool {
			count = pollEvents(int(fd), events[:])
			return count > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:count] {
			h.hungUp(e.Fd)
		}
	}
}

// pollEvents returns the number of events that are pending.
func pollEvents(fd int, events []unix.EpollEvent) int {
	for {
		n, err := unix.EpollWait(fd, events, 0)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0)
		}
	}
}

func (h *Hangups) hungUp(number int32) {
	h.mu.Lock()
	notify := h.notify[number]
	delete(h.notify, number)
	h.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// HungUp reports whether the peer has closed or reset the connection, also while data that it sent before is unread.
func HungUp(c net.Conn) bool {
	hungUp := false
	WithFD(c, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		hungUp = err == nil && n > 0
	})
	return hungUp
}

// Unread returns the number of bytes that have arrived and were not read; 0 if unknown.
func Unread(c net.Conn) int { return queueLength(c, unix.TIOCINQ) }

// Unacknowledged returns the number of bytes that were written and that the peer has not acknowledged; 0 if unknown.
func Unacknowledged(c net.Conn) int { return queueLength(c, unix.TIOCOUTQ) }

func queueLength(c net.Conn, request uint) int {
	length := 0
	WithFD(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, request); err == nil {
			length = n
		}
	})
	return length
}
