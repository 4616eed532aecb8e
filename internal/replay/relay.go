package replay

import (
	"bufio"
	"io"
	"net"
	"sync"
)

// relay stands before one process and passes on the connections of others.
// While it is shut it refuses connections, as the address of a process that
// has ended does. It is safe for concurrent use.
type relay struct {
	name    string // of the process behind it
	address string // at which the relay accepts
	target  string // address of the process behind it
	links   *links
	// identify names the process that opened a connection.
	identify func(*bufio.Reader) (string, error)

	mu       sync.Mutex // guards listener; held while listening, by design
	listener net.Listener
}

// relayBuffer is the size of the buffers of a relayed connection, in bytes.
const relayBuffer = 64 << 10

// identifyAs returns the identification of a relay with one user.
func identifyAs(name string) func(*bufio.Reader) (string, error) {
	return func(*bufio.Reader) (string, error) { return name, nil }
}

// open accepts connections until shut.
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

// close refuses connections from now on.
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
		go r.pass(conn)
	}
}

// pass connects one connection with the process behind the relay. Across a cut
// nothing is dialled and nothing is answered until the cut heals.
func (r *relay) pass(near net.Conn) {
	defer near.Close()
	reader := bufio.NewReaderSize(near, relayBuffer)
	from, err := r.identify(reader)
	if err != nil {
		return
	}
	there, back := r.links.get(from, r.name), r.links.get(r.name, from)
	there.wait()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer far.Close()
	closeBoth := func() {
		near.Close()
		far.Close()
	}
	number, remove := there.register(closeBoth)
	defer remove()
	carries := func() bool { return there.delivers(number) }
	var pumps sync.WaitGroup
	pumps.Go(func() { pump(far, reader, there, carries, closeBoth) })
	pumps.Go(func() { pump(near, far, back, carries, closeBoth) })
	pumps.Wait()
}

// pump copies until either end fails; what is on its way at a cut stalls, and what
// a silenced connection is given is lost.
func pump(to net.Conn, from io.Reader, over *link, carries func() bool, end func()) {
	defer end()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		over.wait()
		if n > 0 && carries() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
