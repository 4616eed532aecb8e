//go:build crowd

// Package crowdtest starts the daemon's own processes with lowered limits and sends them the
// requests of clients that misbehave. The tests check only what does not depend on the speed of
// the machine: the process is alive, its resident memory and its descriptors stay under a bound,
// and ordinary jobs are answered.
package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdBytes is the size of the bodies that a crowd sends in all: more than memoryMB, so
	// that a process that keeps them all exceeds its bound.
	crowdBytes = 200_000_000
	// fieldClients send bodies of very many fields, each of which takes over 10 MB once decoded
	// on the code without limits.
	fieldClients = 40
	// connections is the number of clients of the crowds that occupy connections: above maxFDs,
	// so that a process that keeps them all has none left.
	connections = 1200
	// settleTime is the time for which a crowd stays after it has sent what it can.
	settleTime = time.Second
)

// crowd is a number of clients that send until stop.
type crowd struct {
	stopped chan struct{}
	clients sync.WaitGroup
	sending sync.WaitGroup // until each client has sent its part
}

// startCrowd starts clients that connect to an address and call behave, which returns when
// the client has sent what it can. A client keeps its connection until stop, whatever the
// process answers; one that could not connect does nothing.
func startCrowd(address string, n int, behave func(conn net.Conn, stopped <-chan struct{})) *crowd {
	c := &crowd{stopped: make(chan struct{})}
	for range n {
		c.clients.Add(1)
		c.sending.Add(1)
		go func() {
			defer c.clients.Done()
			conn, err := net.DialTimeout("tcp", address, patience)
			if err != nil {
				c.sending.Done()
				return
			}
			defer conn.Close()
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			behave(conn, c.stopped)
			c.sending.Done()
			<-c.stopped
		}()
	}
	return c
}

func (c *crowd) stop() {
	close(c.stopped)
	c.clients.Wait()
}

// check runs a crowd against a system and checks the system's memory, descriptors and answers.
func check(t *testing.T, s *system, address string, n int, behave func(net.Conn, <-chan struct{})) {
	c := startCrowd(address, n, behave)
	defer c.stop()
	sent := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(sent)
	}()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	var settled <-chan time.Time
	descriptors := 0
	for done := false; !done; {
		select {
		case <-s.exited:
			t.Fatal("the process has exited")
		case <-ticker.C:
			descriptors = max(descriptors, s.descriptors())
		case <-sent:
			sent, settled = nil, time.After(settleTime)
		case <-settled:
			done = true
		}
	}
	t.Logf("resident memory %d MB, at the peak %d MB; descriptors at the peak %d", s.usage("VmRSS"), s.usage("VmHWM"), descriptors)
	require.Less(t, s.usage("VmHWM"), memoryMB, "resident memory at the peak, in MB")
	require.Less(t, s.usage("VmRSS"), memoryMB, "resident memory, in MB")
	require.Less(t, descriptors, fdBound, "descriptors at the peak")
	s.submitUntilDone(1, 1)
	require.Eventually(t, func() bool { return s.get(s.readiness, s.readyPath) == 200 }, patience, 20*time.Millisecond, "the load balancer's probe is not answered")
	require.Less(t, s.usage("VmHWM"), memoryMB, "resident memory at the peak, in MB")
}

// forBoth runs a test for each program.
func forBoth(t *testing.T, test func(t *testing.T, start func(*testing.T) *system)) {
	for name, start := range programs {
		t.Run(name, func(t *testing.T) { test(t, start) })
	}
}

// forPaths runs a test for each program and for a route, a path without one and the readiness
// path, each with a new process.
func forPaths(t *testing.T, test func(t *testing.T, s *system, address, path string)) {
	forBoth(t, func(t *testing.T, start func(*testing.T) *system) {
		for _, kind := range []string{"route", "no route", "readiness"} {
			t.Run(kind, func(t *testing.T) {
				s := start(t)
				address, path := s.callers, s.route
				switch kind {
				case "no route":
					path = s.noRoute
				case "readiness":
					address, path = s.readiness, s.readyPath
				}
				test(t, s, address, path)
			})
		}
	})
}

// head returns the head of a POST request up to the given last headers.
func (s *system) head(path, last string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\n%s%s\r\n", path, s.headers, last)
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// body returns a body of n bytes that is valid JSON up to its end.
func body(n int) []byte { return repeat(`{"spec":"`, "x", n-11, `"}`) }

// chunks returns bytes in chunks of the given size, without the last chunk of size 0.
func chunks(b []byte, size int) []byte {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(size, len(b))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, b[:n])
		b = b[n:]
	}
	return out.Bytes()
}

// sendAll sends bytes and ignores errors: the process may close the connection.
func sendAll(bytes []byte) func(net.Conn, <-chan struct{}) {
	return func(conn net.Conn, _ <-chan struct{}) { _, _ = conn.Write(bytes) }
}

// A process kept every body that stopped just short of its end, and allocated the
// announced length before any of it had arrived.
func TestUnfinishedBodiesInOnePiece(t *testing.T) {
	forPaths(t, func(t *testing.T, s *system, address, path string) {
		request := append(s.head(path, contentLength(s.maxBody)), body(s.maxBody)[:s.maxBody-1]...)
		check(t, s, address, crowdBytes/s.maxBody, sendAll(request))
	})
}

func TestUnfinishedBodiesInSmallPieces(t *testing.T) {
	forPaths(t, func(t *testing.T, s *system, address, path string) {
		head, content := s.head(path, contentLength(s.maxBody)), body(s.maxBody)
		check(t, s, address, crowdBytes/s.maxBody, func(conn net.Conn, _ <-chan struct{}) {
			_, err := conn.Write(head)
			for rest := content[:s.maxBody-1]; len(rest) > 0 && err == nil; rest = rest[min(1000, len(rest)):] {
				_, err = conn.Write(rest[:min(1000, len(rest))])
			}
		})
	})
}

func TestUnfinishedBodiesInChunks(t *testing.T) {
	forPaths(t, func(t *testing.T, s *system, address, path string) {
		request := append(s.head(path, chunked), chunks(body(s.maxBody), 16<<10)...)
		check(t, s, address, crowdBytes/s.maxBody, sendAll(request))
	})
}

// Small requests precede the unfinished one on each connection.
func TestUnfinishedBodiesAfterPipelinedRequests(t *testing.T) {
	forPaths(t, func(t *testing.T, s *system, address, path string) {
		request := repeat("", fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", s.noRoute, s.headers), 20, "")
		request = append(request, s.head(path, contentLength(s.maxBody))...)
		request = append(request, body(s.maxBody)[:s.maxBody-1]...)
		check(t, s, address, crowdBytes/s.maxBody, sendAll(request))
	})
}

// Bodies far over the limit: announced, or in chunks without an end.
func TestOversizedBodies(t *testing.T) {
	for _, last := range []string{contentLength(1 << 30), chunked} {
		forPaths(t, func(t *testing.T, s *system, address, path string) {
			head, piece := s.head(path, last), chunks(make([]byte, 64<<10), 16<<10)
			check(t, s, address, connections, func(conn net.Conn, _ <-chan struct{}) {
				_, err := conn.Write(head)
				for sent := 0; sent < 2*s.maxBody && err == nil; sent += len(piece) {
					_, err = conn.Write(piece)
				}
			})
		})
	}
}

// A complete body of legal size takes a multiple of it once decoded.
func TestBodiesOfManyFields(t *testing.T) {
	forBoth(t, func(t *testing.T, start func(*testing.T) *system) {
		s := start(t)
		prefix, suffix := `{"gallery":"east","figures":[`, `{}]}`
		if s.maxBody < 1_000_000 {
			prefix = `{"spec":"x","steps":[`
		}
		content := repeat(prefix, "{},", (s.maxBody-len(prefix)-len(suffix))/3, suffix)
		request := append(s.head(s.route, contentLength(len(content))), content...)
		check(t, s, s.callers, fieldClients, func(conn net.Conn, stopped <-chan struct{}) {
			for range 5 { // until the process closes the connection
				if _, err := conn.Write(request); err != nil {
					return
				}
			}
		})
	})
}

// Heads of legal size with very many short fields, with a body that does not come.
func TestHeadsOfManyFields(t *testing.T) {
	forPaths(t, func(t *testing.T, s *system, address, path string) {
		head := s.head(path, contentLength(100))
		fields := repeat("", "a:\r\n", (s.maxHeader-len(head))/4-1, "\r\n")
		check(t, s, address, connections, sendAll(append(head[:len(head)-2], fields...)))
	})
}

// The answers of pipelined requests are not read. Each address of the process is tried.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	forBoth(t, func(t *testing.T, start func(*testing.T) *system) {
		for name, target := range map[string]func(*system) (address, path string){
			"route":     func(s *system) (string, string) { return s.callers, s.route },
			"no route":  func(s *system) (string, string) { return s.callers, s.noRoute },
			"readiness": func(s *system) (string, string) { return s.readiness, s.readyPath },
			"metrics":   func(s *system) (string, string) { return s.metrics, s.metricsPath },
		} {
			t.Run(name, func(t *testing.T) {
				s := start(t)
				address, path := target(s)
				requests := repeat("", fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", path, s.headers), 1000, "")
				check(t, s, address, connections, func(conn net.Conn, _ <-chan struct{}) {
					_ = conn.SetWriteDeadline(time.Now().Add(settleTime)) // the process stops reading
					_, _ = conn.Write(requests)
				})
			})
		}
	})
}

// drip calls step every 100 ms until it fails or the crowd stops.
func drip(stopped <-chan struct{}, step func() error) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for step() == nil {
		select {
		case <-ticker.C:
		case <-stopped:
			return
		}
	}
}

// Clients that send a byte now and then, read a byte now and then, or stop halfway hold
// their connections.
func TestSlowAndHaltingClients(t *testing.T) {
	kinds := map[string]func(s *system, path string) func(net.Conn, <-chan struct{}){
		"send head slowly": func(s *system, path string) func(net.Conn, <-chan struct{}) {
			head := s.head(path, contentLength(s.maxBody))
			return func(conn net.Conn, stopped <-chan struct{}) {
				rest := head[:len(head)-2]
				go drip(stopped, func() error {
					_, err := conn.Write(rest[:min(1, len(rest))])
					rest = rest[min(1, len(rest)):]
					return err
				})
			}
		},
		"send body slowly": func(s *system, path string) func(net.Conn, <-chan struct{}) {
			head := s.head(path, contentLength(s.maxBody))
			return func(conn net.Conn, stopped <-chan struct{}) {
				_, _ = conn.Write(head)
				go drip(stopped, func() error {
					_, err := io.WriteString(conn, " ")
					return err
				})
			}
		},
		"read slowly": func(s *system, path string) func(net.Conn, <-chan struct{}) {
			requests := repeat("", fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", path, s.headers), 200, "")
			return func(conn net.Conn, stopped <-chan struct{}) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4096)
				_ = conn.SetWriteDeadline(time.Now().Add(settleTime))
				_, _ = conn.Write(requests)
				go drip(stopped, func() error {
					_, err := conn.Read(make([]byte, 1))
					return err
				})
			}
		},
		"stop within the head": func(s *system, path string) func(net.Conn, <-chan struct{}) {
			head := s.head(path, contentLength(s.maxBody))
			return sendAll(head[:len(head)/2])
		},
		"stop before the body": func(s *system, path string) func(net.Conn, <-chan struct{}) {
			return sendAll(s.head(path, contentLength(s.maxBody)))
		},
		"send nothing": func(*system, string) func(net.Conn, <-chan struct{}) { return sendAll(nil) },
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			forBoth(t, func(t *testing.T, start func(*testing.T) *system) {
				s := start(t)
				check(t, s, s.callers, connections, kind(s, s.route))
			})
		})
	}
}

// awaitClose waits until the process closes the connection, and a moment longer. It returns
// false when the crowd stops.
func awaitClose(conn net.Conn, stopped <-chan struct{}) bool {
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	select {
	case <-ended:
	case <-stopped:
		return false
	}
	select {
	case <-time.After(100 * time.Millisecond):
		return true
	case <-stopped:
		return false
	}
}

// Jobs that are handed in while the crowd goes on must be accepted and run, and their answers must
// be true. Clients whose connection the process closes return.
func TestJobsDuringCrowd(t *testing.T) {
	forBoth(t, func(t *testing.T, start func(*testing.T) *system) {
		s := start(t)
		request := append(s.head(s.route, contentLength(s.maxBody)), body(s.maxBody)[:s.maxBody-1]...)
		var sent atomic.Int64
		c := startCrowd(s.callers, crowdBytes/s.maxBody, func(conn net.Conn, stopped <-chan struct{}) {
			_, _ = conn.Write(request)
			sent.Add(1)
			go func() {
				for awaitClose(conn, stopped) {
					conn.Close()
					var err error
					if conn, err = net.DialTimeout("tcp", s.callers, patience); err != nil {
						return
					}
					_ = conn.SetWriteDeadline(time.Now().Add(patience))
					_, _ = conn.Write(request)
				}
				conn.Close()
			}()
		})
		defer c.stop()
		require.Eventually(t, func() bool { return sent.Load() >= int64(crowdBytes/s.maxBody/2) || !s.alive() }, patience, 10*time.Millisecond)
		s.submitUntilDone(1, 10)
		require.True(t, s.alive())
		require.Less(t, s.usage("VmHWM"), memoryMB, "resident memory at the peak, in MB")
		require.Less(t, s.descriptors(), fdBound)
	})
}
