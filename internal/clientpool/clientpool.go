// Package clientpool keeps an HTTP client for each address that is called, in shards, and
// forgets those that are no longer called.
package clientpool

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/valyala/fasthttp"
)

const (
	// shardCount spreads the addresses over locks.
	shardCount = 16
	// forgetTime is the time without a call after which a client is forgotten:
	// longer than its connections are kept.
	forgetTime = 2 * time.Minute
)

// Pool holds clients by address. It is safe for concurrent use.
type Pool struct {
	open   func(address string) *fasthttp.HostClient
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex // guards the fields below
	clients map[string]*entry
	swept   time.Time // when the shard was last searched for unused clients
}

type entry struct {
	client *fasthttp.HostClient
	used   time.Time
}

// New returns a pool without clients; open makes one for a host:port.
func New(open func(address string) *fasthttp.HostClient) *Pool {
	p := &Pool{open: open}
	for i := range p.shards {
		p.shards[i].clients = map[string]*entry{}
	}
	return p
}

// Get returns the client of an address. It is for one call; the next call asks again.
func (p *Pool) Get(now time.Time, address string) *fasthttp.HostClient {
	s := &p.shards[rendezvous.Hash(address)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) > forgetTime {
		s.sweep(now)
	}
	e := s.clients[address]
	if e == nil {
		e = &entry{client: p.open(address)}
		s.clients[address] = e
	}
	e.used = now
	return e.client
}

// sweep forgets the clients that were not used lately. A call that is under way on
// one ends as it would have. The caller holds mu.
func (s *shard) sweep(now time.Time) {
	s.swept = now
	for address, e := range s.clients {
		if now.Sub(e.used) > forgetTime {
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
