package seamproxy_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"cardamomseam/internal/stand/seamproxy"
)

var (
	clientLocation = seamproxy.Location{Name: "a", Domain: "ost-1", Region: "ost"}
	serverLocation = seamproxy.Location{Name: "b", Domain: "mitte-1", Region: "mitte"}
)

// freeAddress returns an address whose port was free when checked.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// echo starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

// dialThroughProxy connects from clientLocation, through a proxy, to an echo server in serverLocation.
func dialThroughProxy(t *testing.T, l seamproxy.Latencies) (*seamproxy.Network, *seamproxy.Proxy, net.Conn) {
	t.Helper()
	n := seamproxy.NewNetwork(l, 1)
	p, stop := seamproxy.New(n, seamproxy.FixedResolver(clientLocation))
	t.Cleanup(stop)
	address := freeAddress(t)
	if err := p.Add(seamproxy.Node{Location: serverLocation, Address: address, Listen: startEchoServer(t)}); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return n, p, c
}

// roundTrip sends a byte and returns the time until it comes back.
func roundTrip(c net.Conn, timeout time.Duration) (time.Duration, error) {
	started := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	_ = c.SetReadDeadline(started.Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(started), err
}

// TestDelayBetweenRegions expects two one-way delays of 12 ms per round trip.
func TestDelayBetweenRegions(t *testing.T) {
	_, _, c := dialThroughProxy(t, seamproxy.Lakeshore)
	took, err := roundTrip(c, 5*time.Second)
	if err != nil || took < 24*time.Millisecond {
		t.Errorf("round trip took %s, %v", took, err)
	}
}

func TestPartitionInOneDirectionHeals(t *testing.T) {
	n, _, c := dialThroughProxy(t, seamproxy.Loopback)
	remove := n.Partition("mitte", "ost")
	if _, err := roundTrip(c, 100*time.Millisecond); err == nil {
		t.Fatal("a response crossed the partition")
	}
	remove()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Errorf("the blocked byte was lost: %v", err)
	}
}

func TestSeverClosesConnections(t *testing.T) {
	_, p, c := dialThroughProxy(t, seamproxy.Loopback)
	if _, err := roundTrip(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if count := p.Sever("ost", "b"); count != 1 {
		t.Errorf("%d connections were severed", count)
	}
	if _, err := roundTrip(c, 5*time.Second); err == nil {
		t.Error("the severed connection still works")
	}
}

func TestDatagramsComeFromAdvertisedAddress(t *testing.T) {
	n := seamproxy.NewNetwork(seamproxy.Loopback, 1)
	p, stop := seamproxy.New(n, seamproxy.FixedResolver(clientLocation))
	defer stop()
	a, b := listenUDP(t), listenUDP(t)
	addressA, addressB := freeAddress(t), freeAddress(t)
	for _, x := range []seamproxy.Node{
		{Location: clientLocation, Address: addressA, Listen: a.LocalAddr().String()},
		{Location: serverLocation, Address: addressB, Listen: b.LocalAddr().String()},
	} {
		if err := p.Add(x); err != nil {
			t.Fatal(err)
		}
	}
	to, _ := net.ResolveUDPAddr("udp", addressB)
	if _, err := a.WriteToUDP([]byte("hello"), to); err != nil {
		t.Fatal(err)
	}
	if from := receive(t, b); from != addressA {
		t.Errorf("datagram came from %s, not %s", from, addressA)
	}
	n.Inject(seamproxy.Fault{From: "ost", To: "mitte", Link: seamproxy.Link{Loss: 1}})
	if _, err := a.WriteToUDP([]byte("lost"), to); err != nil {
		t.Fatal(err)
	}
	if from := receive(t, b); from != "" {
		t.Error("a datagram passed a link with total loss")
	}
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// receive returns the source of the next datagram, or "" if none arrives in time.
func receive(t *testing.T, c *net.UDPConn) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, from, err := c.ReadFromUDP(make([]byte, 100))
	if err != nil {
		return ""
	}
	return from.String()
}

func TestProcessResolverFindsOwnConnections(t *testing.T) {
	resolver := seamproxy.NewProcessResolver()
	c, err := net.Dial("tcp", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if p := resolver.Resolve(c.LocalAddr(), c.RemoteAddr()); p != (seamproxy.Location{}) {
		t.Errorf("unknown process resolved to %v", p)
	}
	resolver.Add(os.Getpid(), serverLocation)
	if p := resolver.Resolve(c.LocalAddr(), c.RemoteAddr()); p != serverLocation {
		t.Errorf("own connection resolved to %v", p)
	}
}
