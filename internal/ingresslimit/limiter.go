// Package ingresslimit decides which connections and requests of clients a process accepts, so
// that they stay within its memory and its descriptors. It keeps a budget in bytes for what is
// being received, decoded and sent, which the listeners of the process share, and a limit on the
// connections of each listener. When one is exhausted, it names the connections to be closed:
// those without progress for the longest time.
package ingresslimit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shardCount is the number of shards of a listener's connections. Each read and each write of
	// a connection takes the lock of its shard.
	shardCount = 16
	// SmallRequest is the size of a request, in bytes, that may use the whole budget. Larger ones
	// get three quarters, so that a crowd of large requests does not refuse ordinary ones.
	SmallRequest = 16 << 10
	// stallTime is the time without progress after which a connection may be closed for its share
	// of the budget. A connection at ordinary speed receives a packet more often.
	stallTime = time.Second
)

// Reason tells why a connection was closed or a request was refused.
type Reason int

// The reasons.
const (
	// TooManyConnections: a connection was closed because its listener has too many.
	TooManyConnections Reason = iota
	// Stalled: a connection without progress was closed for its share of the budget.
	Stalled
	// NoProgress: a connection was closed because it did not send or receive for too long.
	NoProgress
	// BudgetExhausted: a request was refused because the budget is exhausted.
	BudgetExhausted
	// TooLarge: a request was refused because its body is too large.
	TooLarge
	// TooManyFields: a request was refused because its headers or its body have too many fields.
	TooManyFields
	// TooManyPipelined: a connection was closed because of too many pipelined requests.
	TooManyPipelined
	// NoDescriptor: no connection could be accepted for lack of a descriptor.
	NoDescriptor
	reasons
)

// String returns the name of a reason in logs and metrics.
func (r Reason) String() string {
	return [reasons]string{"connections", "stalled", "no_progress", "budget", "too_large", "fields", "pipelined", "descriptors"}[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Limiter holds the budget of a process and the groups of its connections. It is safe for concurrent
// use.
type Limiter struct {
	budget int64
	used   atomic.Int64
	counts [reasons]atomic.Uint64

	mu     sync.Mutex // guards the field below
	groups []*Group
}

// New returns a limiter with a budget in bytes.
func New(budget int64) *Limiter { return &Limiter{budget: budget} }

// Budget returns the budget, Used the part of it that is in use, in bytes.
func (l *Limiter) Budget() int64 { return l.budget }

// Used returns the part of the budget that is in use.
func (l *Limiter) Used() int64 { return l.used.Load() }

// Count counts an action.
func (l *Limiter) Count(r Reason) { l.counts[r].Add(1) }

// Counts returns the number of actions for a reason.
func (l *Limiter) Counts(r Reason) uint64 { return l.counts[r].Load() }

// Group holds the connections of one listener, in shards. It is safe for concurrent use.
type Group struct {
	limiter *Limiter
	max     int64
	open    atomic.Int64
	next    atomic.Uint64 // selects the shard of a new connection
	shards  [shardCount]shard
}

type shard struct {
	mu sync.Mutex // guards the fields below and those of the connections
	// idle holds the connections that may be closed and have no share of the budget, holding
	// those with one. Those whose progress is oldest come first. A connection whose complete
	// request is being served is in neither.
	idle, holding list
}

// NewGroup returns a group of at most max connections.
func (l *Limiter) NewGroup(max int) *Group {
	g := &Group{limiter: l, max: int64(max)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups = append(l.groups, g)
	return g
}

// Open returns the number of open connections.
func (g *Group) Open() int64 { return g.open.Load() }

// Conn is the state of one connection. Its methods are safe for concurrent use.
type Conn struct {
	// Close closes the connection at once. The limiter does not call it, but returns the connections
	// that the caller must close. It is called without any lock.
	Close func()
	group *Group
	shard *shard

	// The fields below are guarded by the mutex of the shard.
	in         *list // nil while the connection must not be closed
	prev, next *Conn
	progress   time.Time
	held       int64
	closed     bool
}

// Accept adds a connection with the given function to close it. If the group is full, it
// returns the connection that must be closed for it, or nil and false if all are serving requests.
func (g *Group) Accept(now time.Time, closeConn func()) (c, victim *Conn, ok bool) {
	if g.open.Add(1) > g.max {
		victim = g.evict(now, false, 0)
		// If there is none to close, one may have gone in between.
		full := victim == nil && g.open.Load() > g.max
		if victim != nil || full {
			g.limiter.Count(TooManyConnections)
		}
		if full {
			g.open.Add(-1)
			return nil, nil, false
		}
	}
	c = &Conn{Close: closeConn, group: g, shard: &g.shards[g.next.Add(1)%shardCount], progress: now}
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.shard.idle.pushBack(c)
	return c, victim, true
}

// Victim removes the connection that has been without progress for the longest time, and returns it;
// nil if there is none. The caller must close it.
func (g *Group) Victim(now time.Time) *Conn { return g.evict(now, false, 0) }

// evict removes the connection that has been without progress for the longest time, at least
// for the given time, and returns it; nil if there is none. With holding, only those
// with a share of the budget count. Without a minimum time, connections whose progress is later
// than now count too: now is read before the locks are taken.
func (g *Group) evict(now time.Time, holding bool, stalled time.Duration) *Conn {
	mayClose := func(c *Conn) bool {
		return c != nil && (stalled == 0 || !c.progress.After(now.Add(-stalled)))
	}
	// The oldest may make progress or go while no lock is held; then the next one is tried.
	for range shardCount {
		var oldest *shard
		var progress time.Time
		for i := range g.shards {
			s := &g.shards[i]
			s.mu.Lock()
			if c := s.first(holding); mayClose(c) && (oldest == nil || c.progress.Before(progress)) {
				oldest, progress = s, c.progress
			}
			s.mu.Unlock()
		}
		if oldest == nil {
			return nil
		}
		oldest.mu.Lock()
		c := oldest.first(holding)
		if mayClose(c) {
			c.remove()
			oldest.mu.Unlock()
			return c
		}
		oldest.mu.Unlock()
	}
	return nil
}

// first returns the connection whose progress is oldest, of those with a share of the
// budget or of all. The caller holds mu.
func (s *shard) first(holding bool) *Conn {
	c := s.holding.first
	if !holding && s.idle.first != nil && (c == nil || s.idle.first.progress.Before(c.progress)) {
		return s.idle.first
	}
	return c
}

// remove ends the accounting of a connection. The caller holds the lock of the shard.
func (c *Conn) remove() {
	if c.closed {
		return
	}
	c.closed = true
	c.in.remove(c)
	c.group.limiter.used.Add(-c.held)
	c.held = 0
	c.group.open.Add(-1)
}

// Closed ends the accounting of a connection that has been closed. It may be called again.
func (c *Conn) Closed() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.remove()
}

// Progress records that bytes have been received or sent. The connection may be closed
// once it is without progress.
func (c *Conn) Progress(now time.Time) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.progress = now
	c.place()
}

// place moves the connection to the end of the list that it belongs to. The caller holds the
// lock of the shard.
func (c *Conn) place() {
	if c.closed {
		return
	}
	c.in.remove(c)
	if c.held > 0 {
		c.shard.holding.pushBack(c)
	} else {
		c.shard.idle.pushBack(c)
	}
}

// Serve records that a complete request is being served: the connection must not be closed
// until its next progress.
func (c *Conn) Serve() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.in.remove(c)
}

// Hold sets the connection's share of the budget to n bytes. If the budget does not suffice
// although connections without progress are closed, it changes nothing and returns false. The
// caller must close the victims in any case.
func (c *Conn) Hold(now time.Time, n int64) (victims []*Conn, ok bool) {
	l := c.group.limiter
	limit := l.budget
	if n > SmallRequest {
		limit -= limit / 4
	}
	for !c.hold(n, limit) {
		victim := l.evictHolding(now)
		if victim == nil {
			l.Count(BudgetExhausted)
			return victims, false
		}
		victims = append(victims, victim)
	}
	return victims, true
}

// ForceHold is like Hold, but exceeds the budget if it does not suffice: what is held is the
// answer to a request that was accepted.
func (c *Conn) ForceHold(now time.Time, n int64) (victims []*Conn) {
	c.hold(n, -1)
	l := c.group.limiter
	for l.used.Load() > l.budget {
		victim := l.evictHolding(now)
		if victim == nil {
			break
		}
		victims = append(victims, victim)
	}
	return victims
}

// hold sets the share of the budget unless the total would exceed the limit; a negative limit is
// none. Less than before is always possible. The share of a closed connection stays zero.
func (c *Conn) hold(n, limit int64) bool {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.closed {
		return true // its next read or write fails
	}
	more := n - c.held
	if total := c.group.limiter.used.Add(more); more > 0 && limit >= 0 && total > limit {
		c.group.limiter.used.Add(-more)
		return false
	}
	c.held = n
	if c.in != nil { // in the order of progress
		c.place()
	}
	return true
}

// evictHolding removes a connection that has a share of the budget and is stalled, of any group.
func (l *Limiter) evictHolding(now time.Time) *Conn {
	l.mu.Lock()
	groups := l.groups
	l.mu.Unlock()
	for _, g := range groups {
		if c := g.evict(now, true, stallTime); c != nil {
			l.Count(Stalled)
			return c
		}
	}
	return nil
}

// list is a list of connections in the order of their progress.
type list struct{ first, last *Conn }

func (l *list) pushBack(c *Conn) {
	c.in, c.prev, c.next = l, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// remove removes a connection from its list. A nil list holds no connection.
func (l *list) remove(c *Conn) {
	if l == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.in, c.prev, c.next = nil, nil, nil
}
