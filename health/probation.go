package health

import "time"

// Bounds of a probation.
const (
	// minFalls is the number of falls after which an upstream is on probation, and
	// fallMemory the time without a fall, or since the last probation, after which they
	// are forgotten. Upstreams that flap fall every 3 s.
	minFalls   = 2
	fallMemory = 10 * time.Second
	// A probation lasts minProbation at first and doubles with each fall up to maxProbation.
	minProbation = 2 * time.Second
	maxProbation = 30 * time.Second
	// A probation ends after minCompleted completed runs at first. The number doubles with
	// each fall up to maxCompleted.
	minCompleted = 4
	maxCompleted = 32
	// uptimeShare is the part of the last time between two falls that a run may take during
	// a probation. At most a quarter of such runs is lost in the next fall.
	uptimeShare = 4
)

// Probation tells how far an upstream that has come back after a fall can be trusted. A fall
// is a crash or an ejection. The zero value is trusted. It is not safe for concurrent use;
// its user must hold a lock.
type Probation struct {
	active    bool
	falls     int
	lastFall  time.Time
	until     time.Time // end of the last probation
	remaining int       // completed runs after which the probation ends
	longest   time.Duration
	failing   bool // the last fall was an ejection
}

// RecordFall records that the upstream has come back now after a fall. uptime is the time
// from its return before to the fall, or 0 if unknown; failing means that the fall was an
// ejection, of which one is enough. It reports whether the upstream is on probation.
func (p *Probation) RecordFall(now time.Time, uptime time.Duration, failing bool) bool {
	p.Expire(now)
	p.falls++
	p.lastFall = now
	if p.falls < minFalls && !failing {
		return false
	}
	doublings := min(max(p.falls-minFalls, 0), 10)
	p.active, p.failing = true, failing
	p.until = now.Add(min(minProbation<<doublings, maxProbation))
	p.remaining = min(minCompleted<<doublings, maxCompleted)
	p.longest = uptime / uptimeShare
	return true
}

// EjectedRecently reports whether the last fall was an ejection that is not forgotten. One
// failed run then ejects the upstream again.
func (p *Probation) EjectedRecently(now time.Time) bool {
	p.Expire(now)
	return p.falls > 0 && p.failing
}

// RecordSuccess records a completed run. It reports whether it has ended the probation.
func (p *Probation) RecordSuccess(now time.Time) bool {
	if !p.active {
		return false
	}
	p.remaining--
	if p.remaining <= 0 {
		p.active, p.until = false, now
		return true
	}
	return false
}

// Expire ends the probation once its time has passed, and forgets old falls. It reports
// whether it has ended the probation.
func (p *Probation) Expire(now time.Time) (ended bool) {
	if p.active && !now.Before(p.until) {
		p.active, ended = false, true
	}
	if !p.active && p.falls > 0 && now.Sub(p.lastFall) > fallMemory && now.Sub(p.until) > fallMemory {
		*p = Probation{}
	}
	return ended
}

// Active reports whether the upstream is on probation, as of the last call of another method.
func (p *Probation) Active() bool { return p.active }

// Falls returns the number of falls that are not forgotten.
func (p *Probation) Falls() int { return p.falls }

// Until returns the end of the last probation.
func (p *Probation) Until() time.Time { return p.until }

// Allows reports whether a run of the given length may start beside a number of active runs:
// during a probation one at a time, which must be short if the upstream falls often.
func (p *Probation) Allows(active int, length time.Duration) bool {
	return !p.active || active == 0 && (p.longest == 0 || length <= p.longest)
}
