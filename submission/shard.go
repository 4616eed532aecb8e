package submission

import (
	"sync"
	"time"
)

// shardCount is a power of two well above the number of threads, to keep lock
// contention low.
const shardCount = 64

// shard holds the entries whose hash maps to it.
type shard struct {
	mu      sync.Mutex // guards the fields below
	entries map[ID]*Entry
	budget  int      // bytes
	bytes   int      // bytes in use
	answers []*Entry // finished entries, oldest first
}

// lookup returns an entry that has not expired, or nil. The caller holds mu, as for
// every method of shard.
func (s *shard) lookup(now time.Time, id ID) *Entry {
	e := s.entries[id]
	if e == nil || s.expire(now, e) {
		return nil
	}
	return e
}

// expire removes an entry if it has expired and is not running here. It reports
// whether it did.
func (s *shard) expire(now time.Time, e *Entry) bool {
	running := e.done != nil && !e.finished
	if running || now.Before(e.Expires) {
		return false
	}
	s.remove(e)
	return true
}

// insert adds an entry. If the byte budget is exceeded, it first evicts answers and
// then removes expired entries; it reports false if there is still no room.
func (s *shard) insert(now time.Time, e *Entry) bool {
	if s.bytes+e.bytes > s.budget {
		s.evictAnswers(e.bytes)
	}
	if s.bytes+e.bytes > s.budget {
		s.dropExpired(now)
	}
	if s.bytes+e.bytes > s.budget {
		return false
	}
	s.entries[e.ID] = e
	s.bytes += e.bytes
	return true
}

func (s *shard) dropExpired(now time.Time) {
	for _, e := range s.entries {
		s.expire(now, e)
	}
}

func (s *shard) remove(e *Entry) {
	if s.entries[e.ID] == e {
		delete(s.entries, e.ID)
		s.bytes -= e.bytes
	}
}

// complete stores the outcome of an entry and wakes its waiters.
func (s *shard) complete(e *Entry, outcome *Outcome) {
	if e.finished {
		return
	}
	e.finished = true
	e.outcome.Store(outcome)
	size := outcome.size()
	e.bytes += size
	s.bytes += size
	s.answers = append(s.answers, e)
	if e.done != nil {
		close(e.done)
	}
	s.evictAnswers(0)
}

// evictAnswers replaces the oldest answers with answerExpired until the needed
// bytes fit the budget. Failures and the entries themselves stay.
func (s *shard) evictAnswers(needed int) {
	n := 0
	for n < len(s.answers) && s.bytes+needed > s.budget {
		e := s.answers[n]
		n++
		if s.entries[e.ID] != e {
			continue
		}
		outcome := e.outcome.Load()
		size := outcome.size()
		if outcome.Failure == nil {
			e.outcome.Store(answerExpired)
			e.bytes -= size
			s.bytes -= size
		}
	}
	s.answers = s.answers[n:]
}
