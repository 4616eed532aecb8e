package replay

import (
	"sync"
	"time"
)

// links holds the state of the network between each pair of processes. It is
// safe for concurrent use.
type links struct {
	mu    sync.Mutex // guards pairs; taken before a link's lock
	pairs map[direction]*link
}

// direction is a direction between two processes.
type direction struct{ from, to string }

func newLinks() *links { return &links{pairs: map[direction]*link{}} }

func (l *links) get(from, to string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := direction{from, to}
	if l.pairs[key] == nil {
		l.pairs[key] = &link{resets: map[int]func(){}}
	}
	return l.pairs[key]
}

// healAll heals every link.
func (l *links) healAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.pairs {
		link.heal()
		link.setDelay(0)
	}
}

// link is one direction between two processes.
type link struct {
	mu     sync.Mutex    // guards the fields below
	healed chan struct{} // closed by heal; nil while the link is whole
	delay  time.Duration // of everything that is sent
	resets map[int]func()
	next   int
	silent int // connections with a number below it carry nothing any more
}

// setDelay delays everything that is sent from now on.
func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// blackhole lets the open connections carry nothing any more, without a reset; new
// ones work.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = l.next
}

// cut stops the link: what is sent stays on its way until heal.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

// heal delivers what is on its way and lets the link go on.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// wait returns once the link is whole and its delay is over.
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

// delivers tells whether a connection was not silenced.
func (l *link) delivers(number int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return number >= l.silent
}

// register registers what ends a connection over the link, until remove, and numbers
// it.
func (l *link) register(end func()) (number int, remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number = l.next
	l.next++
	l.resets[number] = end
	return number, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.resets, number)
	}
}

// reset ends every connection over the link.
func (l *link) reset() {
	l.mu.Lock()
	ends := make([]func(), 0, len(l.resets))
	for _, end := range l.resets {
		ends = append(ends, end)
	}
	l.mu.Unlock()
	for _, end := range ends {
		end()
	}
}
