package replay

import "sync"

// links holds the state of the network between each pair of processes. It is
// safe for concurrent use.
type links struct {
	mu    sync.Mutex // guards pairs; taken before a link's lock
	pairs map[pair]*link
}

// pair is a direction between two processes.
type pair struct{ from, to string }

func newLinks() *links { return &links{pairs: map[pair]*link{}} }

func (l *links) get(from, to string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := pair{from, to}
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
	}
}

// link is one direction between two processes.
type link struct {
	mu     sync.Mutex    // guards the fields below
	healed chan struct{} // closed by heal; nil while the link is whole
	resets map[int]func()
	next   int
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

// wait returns once the link is whole.
func (l *link) wait() {
	for {
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

// onReset registers what ends a connection over the link, until remove.
func (l *link) onReset(end func()) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.next
	l.next++
	l.resets[number] = end
	return func() {
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
