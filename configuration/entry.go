// Package configuration holds the configuration that operators change at run
// time: services and their calls, settings, drains, quotas and the home data
// centres of callers.
//
// The configuration is a single revisioned state of small entries. A change
// edits a few entries and creates the next revision; Plan decides whether it
// may. Processes compare revision and fingerprint and exchange the difference.
// A merge never accepts a lower revision. The package imports no network or
// encoding package and reads no clock.
package configuration

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Key prefixes of the entries.
const (
	// PrefixServices is the prefix of services/SERVICE/CALL; the value is the
	// definition of the call, as in the services file.
	PrefixServices = "services/"
	// PrefixSettings is the prefix of settings/FLAG; the value is the text of
	// the setting.
	PrefixSettings = "settings/"
	// PrefixDrains is the prefix of drains/VM; the value is the reason.
	PrefixDrains = "drains/"
	// PrefixQuotas is the prefix of quotas/CALLER; the value is a number of
	// tasks.
	PrefixQuotas = "quotas/"
	// PrefixHomes is the prefix of homes/CALLER; the value is a data centre.
	PrefixHomes = "homes/"
)

// Prefixes returns all key prefixes.
func Prefixes() []string {
	return []string{PrefixServices, PrefixSettings, PrefixDrains, PrefixQuotas, PrefixHomes}
}

// Size limits.
const (
	MaxKeyBytes   = 512
	MaxValueBytes = 1<<20 - 64<<10 // leaves room for the encoding within the size limit of a stored value
	MaxStateBytes = 4 << 20        // a whole state must fit into one message between peers
)

// Entry is one entry of the configuration.
type Entry struct {
	Key, Value string
	// Revision is the revision of the configuration that last changed the
	// entry.
	Revision int64
	// Deleted marks a tombstone: the entry was removed at Revision.
	Deleted bool
}

func (e Entry) fingerprint() uint64 { return rendezvous.HashPair(e.Key, e.Value) }

// CheckKey returns an error if a key is too long or has none of the known
// prefixes.
func CheckKey(key string) error {
	if len(key) > MaxKeyBytes {
		return fmt.Errorf("key has %d bytes, limit is %d bytes", len(key), MaxKeyBytes)
	}
	for _, prefix := range Prefixes() {
		if rest, found := strings.CutPrefix(key, prefix); found && rest != "" {
			return nil
		}
	}
	return fmt.Errorf("key %q starts with none of %s", key, strings.Join(Prefixes(), ", "))
}

// CheckValue returns an error if the value of a quota or home is malformed.
// Other values are checked where they are used.
func CheckValue(key, value string) error {
	switch {
	case strings.HasPrefix(key, PrefixQuotas):
		if n, err := strconv.Atoi(value); err != nil || n < 1 {
			return fmt.Errorf("%q is not a positive number of tasks", value)
		}
	case strings.HasPrefix(key, PrefixHomes):
		if value == "" {
			return fmt.Errorf("home data centre is empty; set one or remove the entry")
		}
	}
	return nil
}

// Quota returns the maximum number of tasks that a caller may have waiting and
// running on one VM. ok is false if the caller has no quota.
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
