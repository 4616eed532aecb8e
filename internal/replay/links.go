package replay

import (
	"sync"
	"time"
)

// links holds the simulated network between the processes, one link per direction.
// It is safe for concurrent use.
type links struct {
	mu          sync.Mutex // guards byDirection; taken before a link's lock
	byDirection map[direction]*link
}

// direction identifies the traffic from one process to another.
type direction struct{ from, to string }

func newLinks() *links { return &links{byDirection: map[direction]*link{}} }

func (l *links) get(from, to string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := direction{from, to}
	if l.byDirection[key] == nil {
		l.byDirection[key] = &link{closers: map[int]func(){}}
	}
	return l.byDirection[key]
}

// healAll heals every link and removes its delay.
func (l *links) healAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byDirection {
		link.healFully()
		link.setDelay(0)
	}
}

// link is the simulated network for one direction.
type link struct {
	mu        sync.Mutex     // guards the fields below
	cuts      int            // active cuts
	healed    chan struct{}  // closed by the last heal; nil unless the link is cut
	delay     time.Duration  // added to everything that is sent
	closers   map[int]func() // by connection ID; each closes an open connection that was opened in this direction
	nextID    int
	firstLive int // lowest connection ID whose traffic is delivered
}

// setDelay delays everything that is sent from now on.
func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// blackhole drops the traffic, both ways, of the connections that were opened in this
// direction, without closing them. New connections work.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstLive = l.nextID
}

// cut holds all traffic until heal was called as often as cut.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

// heal ends a cut. The end of the last one delivers the held traffic and resumes the link.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCuts(l.cuts - 1)
}

// healFully ends every cut.
func (l *link) healFully() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCuts(0)
}

// endCuts ends all cuts but the given number. The caller holds mu.
func (l *link) endCuts(left int) {
	l.cuts = max(left, 0)
	if l.cuts == 0 && l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// wait blocks while the link is cut, then for the delay.
func (l *link) wait() {
	for {
		l.mu.Lock()
		healed, delay := l.healed, l.delay
		l.mu.Unlock()
		if healed == nil {
			time.Sleep(delay)
			return
		}
		<-healed
	}
}

// delivers reports whether the traffic of a connection is delivered.
func (l *link) delivers(id int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return id >= l.firstLive
}

// register adds a connection that is opened in this direction and returns its ID. reset
// calls closeConn to close it. The caller must call remove once the connection is closed.
func (l *link) register(closeConn func()) (id int, remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id = l.nextID
	l.nextID++
	l.closers[id] = closeConn
	return id, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.closers, id)
	}
}

// reset closes every connection that was opened in this direction.
func (l *link) reset() {
	l.mu.Lock()
	closers := make([]func(), 0, len(l.closers))
	for _, closeConn := range l.closers {
		closers = append(closers, closeConn)
	}
	l.mu.Unlock()
	for _, closeConn := range closers {
		closeConn()
	}
}
