package node

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// withdrawnRetention is the least time for which a dispatcher refuses offers of a submission
// that its origin has withdrawn. It covers retransmissions on a connection that is no longer
// used.
const withdrawnRetention = 10 * time.Second

// submissionRef identifies a submission of a job.
type submissionRef struct {
	origin, job string
	number      uint64
}

const withdrawnShards = 16

// withdrawnSubmissions holds the submissions that have been withdrawn lately, in shards by
// job.
type withdrawnSubmissions struct {
	shards [withdrawnShards]withdrawnShard
}

// withdrawnShard keeps its entries in two generations, so that old ones are dropped at once.
type withdrawnShard struct {
	mu          sync.Mutex // guards the fields below
	recent      map[submissionRef]struct{}
	earlier     map[submissionRef]struct{}
	recentSince time.Time
}

func (w *withdrawnSubmissions) shard(job string) *withdrawnShard {
	return &w.shards[rendezvous.Hash(job)%withdrawnShards]
}

func (w *withdrawnSubmissions) add(now time.Time, ref submissionRef) {
	s := w.shard(ref.job)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || now.Sub(s.recentSince) > withdrawnRetention {
		s.earlier, s.recent, s.recentSince = s.recent, map[submissionRef]struct{}{}, now
	}
	s.recent[ref] = struct{}{}
}

func (w *withdrawnSubmissions) contains(ref submissionRef) bool {
	s := w.shard(ref.job)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, recent := s.recent[ref]
	_, earlier := s.earlier[ref]
	return recent || earlier
}
