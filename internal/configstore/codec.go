package configstore

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
)

// Keys in the platform's service.
const (
	rootPrefix    = "mustardstep/"
	statePrefix   = rootPrefix + "state/"
	headKey       = statePrefix + "head"
	entryPrefix   = statePrefix + "entries/"
	historyPrefix = rootPrefix + "history/"
)

// historyLimit is the number of accepted changes that are kept.
const historyLimit = 1000

func historyKey(revision int64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

// encode returns the transaction that writes a decision.
func encode(c *configuration.Change, d configuration.Decision, position int64) (*api.TxnRequest, error) {
	request := &api.TxnRequest{Compares: []api.Compare{{Key: headKey, ModRevision: position}}}
	put := func(key string, value any) error {
		encoded, err := json.Marshal(value)
		request.Puts = append(request.Puts, api.KeyValue{Key: key, Value: encoded})
		return err
	}
	err := put(headKey, api.StoredHead{Revision: d.Revision, Fingerprint: d.Next.Fingerprint(), ChangeID: c.ID})
	for _, e := range d.Puts {
		if e.Deleted {
			request.Puts = append(request.Puts, api.KeyValue{Key: entryPrefix + e.Key, Deleted: true})
			continue
		}
		err = errors.Join(err, put(entryPrefix+e.Key, api.StoredEntry{Value: e.Value, Revision: e.Revision}))
	}
	err = errors.Join(err, put(historyKey(d.Revision), storedChange(c, d)))
	if d.Revision > historyLimit {
		request.Puts = append(request.Puts, api.KeyValue{Key: historyKey(d.Revision - historyLimit), Deleted: true})
	}
	return request, err
}

func storedChange(c *configuration.Change, d configuration.Decision) api.StoredChange {
	stored := api.StoredChange{
		Revision: d.Revision, ID: c.ID, Author: c.Author, Note: c.Note, AtMS: c.At.UnixMilli(),
	}
	for _, e := range d.Before {
		stored.Edits = append(stored.Edits, api.StoredEdit{Key: e.Key, Before: e.Before})
	}
	return stored
}

// decodeHead returns a read of the head alone; ok is false where it is not of
// the state that this process holds.
func decodeHead(response *api.RangeResponse, held *configuration.State) (configuration.Read, bool) {
	read := configuration.Read{ServiceRevision: response.Revision}
	if len(response.Entries) == 0 {
		read.State = configuration.New(0, nil)
		return read, held.Revision() == 0
	}
	var head api.StoredHead
	if json.Unmarshal(response.Entries[0].Value, &head) != nil {
		return read, false
	}
	read.Position, read.State = response.Entries[0].ModRevision, held
	return read, head.Revision == held.Revision() && head.Fingerprint == held.Fingerprint()
}

// decode returns a read of the state, and of the history where it was read.
func decode(response *api.RangeResponse) (configuration.Read, error) {
	read := configuration.Read{ServiceRevision: response.Revision}
	read.Accepted = map[string]int64{}
	var head api.StoredHead
	var entries []configuration.Entry
	for _, kv := range response.Entries {
		var err error
		switch key, isEntry := strings.CutPrefix(kv.Key, entryPrefix); {
		case kv.Key == headKey:
			read.Position = kv.ModRevision
			err = json.Unmarshal(kv.Value, &head)
		case isEntry:
			var e configuration.Entry
			e, err = decodeEntry(key, kv)
			entries = append(entries, e)
		case strings.HasPrefix(kv.Key, historyPrefix):
			var change api.StoredChange
			err = json.Unmarshal(kv.Value, &change)
			read.Accepted[change.ID] = change.Revision
		}
		if err != nil {
			return read, errors.Wrapf(err, "entry %s of the platform's service", kv.Key)
		}
	}
	read.State = configuration.New(head.Revision, entries)
	if read.State.Fingerprint() != head.Fingerprint {
		return read, errors.Newf("the entries of revision %d do not have its fingerprint", head.Revision)
	}
	return read, nil
}

func decodeEntry(key string, kv api.KeyValue) (configuration.Entry, error) {
	if kv.Deleted {
		return configuration.Entry{Key: key, Deleted: true}, nil
	}
	var stored api.StoredEntry
	err := json.Unmarshal(kv.Value, &stored)
	return configuration.Entry{Key: key, Value: stored.Value, Revision: stored.Revision}, err
}

// applyEvents returns the state after the events of a watch.
func applyEvents(state *configuration.State, events []api.KeyValue) (*configuration.State, bool) {
	var head api.StoredHead
	changed := map[string]configuration.Entry{}
	for _, kv := range events {
		if kv.Key == headKey {
			if json.Unmarshal(kv.Value, &head) != nil {
				return nil, false
			}
			continue
		}
		e, err := decodeEntry(strings.TrimPrefix(kv.Key, entryPrefix), kv)
		if err != nil {
			return nil, false
		}
		changed[e.Key] = e
	}
	entries := make([]configuration.Entry, 0, len(changed))
	for _, e := range changed {
		if e.Deleted {
			e.Revision = head.Revision
		}
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

func decodeHistory(entries []api.KeyValue) ([]api.StoredChange, error) {
	changes := make([]api.StoredChange, len(entries))
	for i, kv := range entries {
		if err := json.Unmarshal(kv.Value, &changes[i]); err != nil {
			return nil, errors.Wrapf(err, "entry %s of the platform's service", kv.Key)
		}
	}
	slices.Reverse(changes)
	return changes, nil
}
