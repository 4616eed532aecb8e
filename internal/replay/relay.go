package replay

import (
	"bufio"
	"io"
	"net"
	"sync"
)

// relay is a TCP proxy in front of one process that applies the state of the
// links. While closed it refuses connections, like the address of a process that
// has exited. It is safe for concurrent use.
type relay struct {
	name    string // of the target process
	address string // on which the relay listens
	target  string // address of the target process
	links   *links
	// identify returns the name of the process that opened a connection. It may only
	// peek at the data.
	identify func(*bufio.Reader) (string, error)
	// hidesClose keeps the connection to the target open after the other side has closed
	// its own, and discards what the target sends.
	hidesClose bool

	mu       sync.Mutex // guards listener; held during net.Listen
	listener net.Listener
}

// relayBuffer is the size of the buffers of a relayed connection, in bytes.
const relayBuffer = 64 << 10

// identifyAs returns an identify function for a relay that only one process uses.
func identifyAs(name string) func(*bufio.Reader) (string, error) {
	return func(*bufio.Reader) (string, error) { return name, nil }
}

// open starts accepting connections. It does nothing if the relay is open.
func (r *relay) open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

// close stops accepting connections. Established ones stay open.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
}

func (r *relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// forward proxies a connection to the target process. While the link to the target is
// cut, the target is not dialled.
func (r *relay) forward(clientConn net.Conn) {
	defer clientConn.Close()
	reader := bufio.NewReaderSize(clientConn, relayBuffer)
	clientName, err := r.identify(reader)
	if err != nil {
		return
	}
	requests, responses := r.links.get(clientName, r.name), r.links.get(r.name, clientName)
	requests.wait()
	serverConn, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer serverConn.Close()
	closeBoth := func() {
		clientConn.Close()
		serverConn.Close()
	}
	id, remove := requests.register(closeBoth)
	defer remove()
	delivers := func() bool { return requests.delivers(id) }
	var copies sync.WaitGroup
	var client io.Writer = clientConn
	clientClosed := closeBoth
	if r.hidesClose {
		client, clientClosed = discardOnError{clientConn}, func() {}
	}
	copies.Go(func() { copyTraffic(serverConn, reader, requests, delivers, clientClosed) })
	copies.Go(func() { copyTraffic(client, serverConn, responses, delivers, closeBoth) })
	copies.Wait()
}

// discardOnError drops what cannot be written.
type discardOnError struct{ io.Writer }

func (d discardOnError) Write(data []byte) (int, error) {
	_, _ = d.Writer.Write(data)
	return len(data), nil
}

// copyTraffic copies until either connection fails, then calls done. It holds data while
// the link is cut and drops the data of a blackholed connection.
func copyTraffic(to io.Writer, from io.Reader, via *link, delivers func() bool, done func()) {
	defer done()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		via.wait()
		if n > 0 && delivers() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
