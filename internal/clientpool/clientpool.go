// Package clientpool keeps one HTTP client per address and removes idle clients.
package clientpool

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/valyala/fasthttp"
)

const (
	// shardCount is the number of locks that the addresses are spread over.
	shardCount = 16
	// idleTimeout is the time without use after which a client is removed. It is
	// longer than the time for which a client keeps idle connections open.
	idleTimeout = 2 * time.Minute
)

// Pool holds HTTP clients by address. It is safe for concurrent use.
type Pool struct {
	newClient func(address string) *fasthttp.HostClient
	shards    [shardCount]shard
}

type shard struct {
	mu        sync.Mutex // guards the fields below
	clients   map[string]*entry
	lastSweep time.Time // when idle clients were last removed
}

type entry struct {
	client   *fasthttp.HostClient
	lastUsed time.Time
}

// New returns an empty pool; newClient creates the client of a host:port address.
func New(newClient func(address string) *fasthttp.HostClient) *Pool {
	p := &Pool{newClient: newClient}
	for i := range p.shards {
		p.shards[i].clients = map[string]*entry{}
	}
	return p
}

// Get returns the client of an address, for one call. Callers must not keep it for
// later calls.
func (p *Pool) Get(now time.Time, address string) *fasthttp.HostClient {
	s := &p.shards[rendezvous.Hash(address)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastSweep) > idleTimeout {
		s.sweep(now)
	}
	e := s.clients[address]
	if e == nil {
		e = &entry{client: p.newClient(address)}
		s.clients[address] = e
	}
	e.lastUsed = now
	return e.client
}

// sweep removes idle clients. It does not interrupt calls in progress on them. The
// caller must hold mu.
func (s *shard) sweep(now time.Time) {
	s.lastSweep = now
	for address, e := range s.clients {
		if now.Sub(e.lastUsed) > idleTimeout {
			e.client.CloseIdleConnections()
			delete(s.clients, address)
		}
	}
}

// Len returns the number of clients.
func (p *Pool) Len() int {
	n := 0
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		n += len(s.clients)
		s.mu.Unlock()
	}
	return n
}
