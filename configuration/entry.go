// Package configuration holds the configuration that operators change while
// the system runs: services and their calls, settings, drains, quotas and the
// homes of callers.
//
// It is one revisioned state made of small entries. A change edits a few
// entries and makes the next revision; Plan decides whether it may. Processes
// compare revision and fingerprint and exchange the difference; Merge never
// takes a lower revision. The package imports no network or encoding package
// and reads no clock.
package configuration

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Prefixes of the keys of entries.
const (
	// PrefixServices starts services/SERVICE/CALL; the value is the call's
	// part of the services file.
	PrefixServices = "services/"
	// PrefixSettings starts settings/FLAG; the value is the setting's text.
	PrefixSettings = "settings/"
	// PrefixDrains starts drains/VM; the value is the reason.
	PrefixDrains = "drains/"
	// PrefixQuotas starts quotas/CALLER; the value is a number of tasks.
	PrefixQuotas = "quotas/"
	// PrefixHomes starts homes/CALLER; the value is a data centre.
	PrefixHomes = "homes/"
)

// Prefixes lists the known prefixes.
func Prefixes() []string {
	return []string{PrefixServices, PrefixSettings, PrefixDrains, PrefixQuotas, PrefixHomes}
}

// Limits of the configuration, in bytes.
const (
	MaxKeyBytes   = 512
	MaxValueBytes = 1<<20 - 64<<10 // leaves room for the envelope in a value of the store
	MaxStateBytes = 4 << 20        // a whole state fits into one message between peers
)

// Entry is one part of the configuration.
type Entry struct {
	Key, Value string
	// Revision is the revision of the configuration that last changed the
	// entry.
	Revision int64
	// Deleted marks the trace of a removed entry.
	Deleted bool
}

func (e Entry) fingerprint() uint64 { return rendezvous.HashPair(e.Key, e.Value) }

// CheckKey returns an error that names the known prefixes where the key has
// none of them, or is too long.
func CheckKey(key string) error {
	if len(key) > MaxKeyBytes {
		return fmt.Errorf("key of %d bytes is above the limit of %d", len(key), MaxKeyBytes)
	}
	for _, prefix := range Prefixes() {
		if rest, found := strings.CutPrefix(key, prefix); found && rest != "" {
			return nil
		}
	}
	return fmt.Errorf("key %q starts with none of %s", key, strings.Join(Prefixes(), ", "))
}

// CheckValue returns an error where a value of a quota, home or drain is not of
// its form. Other entries are checked by who reads them.
func CheckValue(key, value string) error {
	switch {
	case strings.HasPrefix(key, PrefixQuotas):
		if n, err := strconv.Atoi(value); err != nil || n < 1 {
			return fmt.Errorf("%q is not a positive number of tasks", value)
		}
	case strings.HasPrefix(key, PrefixHomes):
		if value == "" {
			return fmt.Errorf("name a data centre, or remove the entry")
		}
	}
	return nil
}

// Quota returns the most tasks that a caller may have waiting and running on
// one VM; ok is false where the caller has no quota.
func (s *State) Quota(caller string) (tasks int, ok bool) {
	value, found := s.Get(PrefixQuotas + caller)
	if !found {
		return 0, false
	}
	tasks, err := strconv.Atoi(value)
	return tasks, err == nil
}

// Home returns the data centre to which operators assigned a caller.
func (s *State) Home(caller string) (dataCentre string, ok bool) { return s.Get(PrefixHomes + caller) }
