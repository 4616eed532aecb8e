package daemon

import (
	"sync"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/ownership"
)

// actionSet holds the actions in progress. It is safe for concurrent use.
type actionSet struct {
	mu      sync.Mutex // guards actions
	actions map[ownership.Action]bool
}

// add adds an action. It returns false if the action is already in progress.
func (a *actionSet) add(action ownership.Action) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.actions == nil {
		a.actions = map[ownership.Action]bool{}
	}
	if a.actions[action] {
		return false
	}
	a.actions[action] = true
	return true
}

func (a *actionSet) remove(action ownership.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.actions, action)
}

// incarnationSet is a set of incarnations. It is safe for concurrent use.
type incarnationSet struct {
	mu  sync.Mutex // guards ids
	ids map[membership.ID]bool
}

// add adds an incarnation and reports whether it was absent.
func (s *incarnationSet) add(id membership.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[membership.ID]bool{}
	}
	isNew := !s.ids[id]
	s.ids[id] = true
	return isNew
}
