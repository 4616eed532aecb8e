package ingresslimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// connect adds connections whose progress is a second apart, beginning at start.
func connect(t *testing.T, g *Group, n int) (conns []*Conn) {
	for i := range n {
		c, victim, ok := g.Accept(start.Add(time.Duration(i)*time.Second), func() {})
		require.True(t, ok)
		require.Nil(t, victim)
		conns = append(conns, c)
	}
	return conns
}

// A crowd of idle connections kept all others out.
func TestOldestConnectionIsClosedForNewOne(t *testing.T) {
	g := New(1000).NewGroup(3)
	conns := connect(t, g, 3)
	conns[0].Progress(start.Add(10 * time.Second))
	conns[1].Serve()
	_, victim, ok := g.Accept(start.Add(11*time.Second), nil)
	require.True(t, ok)
	require.Same(t, conns[2], victim, "the first has made progress, the second waits for its answer")
	require.EqualValues(t, 3, g.Open())
	conns[2].Closed()
	require.EqualValues(t, 3, g.Open(), "counted twice")
}

// A connection whose request was accepted must not be closed for a new one.
// A new connection was refused although another could be closed for it, whose progress was later than
// the time of the call.
func TestConnectionWithProgressDuringTheCallIsClosedForNewOne(t *testing.T) {
	g := New(1000).NewGroup(1)
	first := connect(t, g, 1)[0]
	first.Progress(start.Add(2 * time.Microsecond))
	second, victim, ok := g.Accept(start.Add(time.Microsecond), func() {})
	require.True(t, ok)
	require.Same(t, first, victim)
	second.Progress(start.Add(4 * time.Microsecond))
	require.Same(t, second, g.Victim(start.Add(3*time.Microsecond)), "for a lack of descriptors")
	require.Zero(t, g.Open())
}

// A new connection was refused if the last one went after the group had been found full.
func TestConnectionIsAcceptedIfAnotherGoesDuringTheCall(t *testing.T) {
	g := New(1000).NewGroup(1)
	first := connect(t, g, 1)[0]
	first.shard.mu.Lock() // holds Accept back before it looks for a connection to close
	type result struct {
		victim *Conn
		ok     bool
	}
	accepted := make(chan result)
	go func() {
		_, victim, ok := g.Accept(start, func() {})
		accepted <- result{victim, ok}
	}()
	require.Eventually(t, func() bool { return g.Open() == 2 }, 10*time.Second, time.Millisecond)
	first.remove()
	first.shard.mu.Unlock()
	require.Equal(t, result{ok: true}, <-accepted)
	require.EqualValues(t, 1, g.Open())
	require.Zero(t, g.limiter.Counts(TooManyConnections))
}

func TestConnectionsThatAreServedAreKept(t *testing.T) {
	g := New(1000).NewGroup(2)
	for _, c := range connect(t, g, 2) {
		c.Serve()
	}
	_, victim, ok := g.Accept(start.Add(time.Hour), nil)
	require.False(t, ok)
	require.Nil(t, victim)
	require.EqualValues(t, 2, g.Open())
}

func TestBudget(t *testing.T) {
	l := New(100_000)
	g, other := l.NewGroup(10), l.NewGroup(10)
	conns, late := connect(t, g, 3), connect(t, other, 1)[0]
	now := start.Add(2 * time.Second)
	late.Progress(now)
	hold := func(c *Conn, now time.Time, n int64) ([]*Conn, bool) { return c.Hold(now, n) }
	for _, c := range conns[:2] {
		victims, ok := hold(c, start, 35_000)
		require.True(t, ok)
		require.Empty(t, victims)
	}
	// Both hold a share, and the second has made progress.
	conns[1].Progress(now)
	victims, ok := hold(late, now, 20_000)
	require.True(t, ok)
	require.Equal(t, []*Conn{conns[0]}, victims, "the connection without progress, of another listener")
	require.EqualValues(t, 55_000, l.Used())
	_, ok = hold(conns[2], now, 30_000)
	require.False(t, ok, "large requests leave a quarter to small ones")
	_, ok = hold(conns[2], now, SmallRequest)
	require.True(t, ok)
	require.EqualValues(t, 1, l.Counts(BudgetExhausted))
	victims, ok = hold(conns[0], now, 50_000)
	require.True(t, ok, "a closed connection holds nothing")
	require.Empty(t, victims)
	conns[1].Serve()
	require.Empty(t, late.ForceHold(now, 90_000), "none is stalled")
	require.Greater(t, l.Used(), l.Budget())
	for _, c := range append(conns, late) {
		c.Closed()
	}
	require.Zero(t, l.Used())
	require.Zero(t, g.Open()+other.Open())
}
