package configstore

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/store"
)

// Keys in the platform's store.
const (
	rootPrefix    = "mustardstep/"
	statePrefix   = rootPrefix + "state/"
	headKey       = statePrefix + "head"
	entryPrefix   = statePrefix + "entries/"
	partPrefix    = statePrefix + "parts/"
	historyPrefix = rootPrefix + "history/"
)

const (
	// historyLimit is the number of accepted changes that are kept.
	historyLimit = 1000
	// maxDirectEntries is the maximum number of entries that a change writes
	// individually. The head, its condition, the new history entry and the
	// removal of an old one use the rest of a transaction.
	maxDirectEntries = store.MaxTxnOps - 4
	// maxPartBytes is the size of a snapshot part before encoding. JSON and
	// Base64 enlarge it.
	maxPartBytes = store.MaxValueSize / 4
)

func historyKey(revision int64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

func partKey(number int) string { return fmt.Sprintf("%s%03d", partPrefix, number) }

// snapshotRef identifies the stored snapshot: its revision and the number of
// its parts.
type snapshotRef struct {
	revision int64
	parts    int
}

// encode returns the transaction that writes a decision. If the change has more
// entries than fit into a transaction, it writes the whole state as a new
// snapshot.
func encode(c *configuration.Change, d configuration.Decision, headRevision int64, snapshot snapshotRef) (store.Txn, error) {
	txn := store.Txn{Conditions: []store.Condition{{Key: headKey, Revision: headRevision}}}
	var errs []error
	put := func(key string, value any) {
		encoded, err := json.Marshal(value)
		errs = append(errs, err)
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: encoded})
	}
	if len(d.Puts) <= maxDirectEntries {
		for _, e := range d.Puts {
			put(entryPrefix+e.Key, api.StoredEntry{Value: e.Value, Revision: d.Revision, Deleted: e.Deleted})
		}
	} else {
		parts := splitSnapshot(d.Next)
		for i, part := range parts {
			put(partKey(i), part)
		}
		snapshot = snapshotRef{d.Revision, len(parts)}
	}
	put(headKey, api.StoredHead{
		Revision: d.Revision, Fingerprint: d.Next.Fingerprint(), ChangeID: c.ID, SnapshotRevision: snapshot.revision, SnapshotParts: snapshot.parts,
	})
	put(historyKey(d.Revision), encodeChange(c, d))
	if d.Revision > historyLimit {
		txn.Deletes = append(txn.Deletes, historyKey(d.Revision-historyLimit))
	}
	return txn, errors.Join(errs...)
}

// splitSnapshot divides a state into the parts of a snapshot.
func splitSnapshot(s *configuration.State) []api.StoredSnapshotPart {
	parts := []api.StoredSnapshotPart{{}}
	size := 0
	for _, e := range s.Entries("") {
		if size > 0 && size+len(e.Key)+len(e.Value) > maxPartBytes {
			parts, size = append(parts, api.StoredSnapshotPart{}), 0
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, api.StoredEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
		size += len(e.Key) + len(e.Value)
	}
	return parts
}

// encodeChange returns the history entry of a change.
func encodeChange(c *configuration.Change, d configuration.Decision) api.StoredChange {
	stored := api.StoredChange{
		Revision: d.Revision, ID: c.ID, Author: c.Author, Note: c.Note, AtMS: c.At.UnixMilli(),
	}
	for _, e := range d.AppliedEdits {
		stored.Edits = append(stored.Edits, api.StoredEdit{Key: e.Key, Before: e.Before})
	}
	return stored
}

// decodeHead decodes a read of the head alone. ok is false if the head is
// malformed or does not match the state of this process.
func decodeHead(items []store.Item, at int64, state *configuration.State) (read configuration.Read, snapshot snapshotRef, ok bool) {
	read.StoreRevision = at
	if len(items) == 0 {
		read.State = configuration.New(0, nil)
		return read, snapshot, state.Revision() == 0
	}
	var head api.StoredHead
	if json.Unmarshal(items[0].Value, &head) != nil {
		return read, snapshot, false
	}
	read.HeadRevision, read.State = items[0].Revision, state
	return read, snapshotRef{head.SnapshotRevision, head.SnapshotParts}, head.Revision == state.Revision() && head.Fingerprint == state.Fingerprint()
}

// decode decodes a read of the state and, if it was read, the history.
func decode(items []store.Item, at int64) (configuration.Read, snapshotRef, error) {
	read := configuration.Read{StoreRevision: at}
	read.Accepted = map[string]int64{}
	var head api.StoredHead
	var parts, direct []api.StoredEntry
	for _, item := range items {
		var err error
		switch key, isEntry := strings.CutPrefix(item.Key, entryPrefix); {
		case item.Key == headKey:
			read.HeadRevision = item.Revision
			err = json.Unmarshal(item.Value, &head)
		case isEntry:
			e := api.StoredEntry{}
			err = json.Unmarshal(item.Value, &e)
			e.Key = key
			direct = append(direct, e)
		case strings.HasPrefix(item.Key, partPrefix):
			var part api.StoredSnapshotPart
			if item.Key < partKey(head.SnapshotParts) { // the head sorts before the parts
				err = json.Unmarshal(item.Value, &part)
			}
			parts = append(parts, part.Entries...)
		case strings.HasPrefix(item.Key, historyPrefix):
			var change api.StoredChange
			err = json.Unmarshal(item.Value, &change)
			read.Accepted[change.ID] = change.Revision
		}
		if err != nil {
			return read, snapshotRef{}, errors.Wrapf(err, "decode key %s of the platform's store", item.Key)
		}
	}
	read.State = assembleState(head, parts, direct)
	if read.State.Fingerprint() != head.Fingerprint {
		return read, snapshotRef{}, errors.Newf("entries of revision %d do not match its fingerprint", head.Revision)
	}
	return read, snapshotRef{head.SnapshotRevision, head.SnapshotParts}, nil
}

// assembleState returns the state that results from the snapshot and the
// entries written after it.
func assembleState(head api.StoredHead, parts, direct []api.StoredEntry) *configuration.State {
	values := map[string]configuration.Entry{}
	for _, e := range parts {
		values[e.Key] = configuration.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	for _, e := range direct {
		switch {
		case e.Revision <= head.SnapshotRevision:
		case e.Deleted:
			delete(values, e.Key)
		default:
			values[e.Key] = configuration.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
		}
	}
	entries := make([]configuration.Entry, 0, len(values))
	for _, e := range values {
		entries = append(entries, e)
	}
	return configuration.New(head.Revision, entries)
}

// applyEvents implements ApplyEvents.
func applyEvents(state *configuration.State, events []store.Event) (*configuration.State, bool) {
	var head api.StoredHead
	changed := map[string]configuration.Entry{}
	for _, event := range events {
		if event.Key == headKey {
			if json.Unmarshal(event.Value, &head) != nil {
				return nil, false
			}
			continue
		}
		key, isEntry := strings.CutPrefix(event.Key, entryPrefix)
		var e api.StoredEntry
		if !isEntry || event.Deleted || json.Unmarshal(event.Value, &e) != nil {
			return nil, false
		}
		changed[key] = configuration.Entry{Key: key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
	}
	entries := make([]configuration.Entry, 0, len(changed))
	for _, e := range changed {
		entries = append(entries, e)
	}
	switch {
	case state.Revision() == 0:
		return nil, false
	case head.Revision < state.Revision():
		return state, true
	}
	next := state.With(head.Revision, entries)
	return next, next.Fingerprint() == head.Fingerprint
}

// decodeHistory decodes the history, newest first.
func decodeHistory(items []store.Item) ([]api.StoredChange, error) {
	changes := make([]api.StoredChange, len(items))
	for i, item := range items {
		if err := json.Unmarshal(item.Value, &changes[i]); err != nil {
			return nil, errors.Wrapf(err, "decode key %s of the platform's store", item.Key)
		}
	}
	slices.Reverse(changes)
	return changes, nil
}
