package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

// maxRecordBatch is the maximum number of records per message.
const maxRecordBatch = 512

// recordBatcher batches start records: while a message to a record holder is in
// flight, new records wait for the next message. It is safe for concurrent use.
type recordBatcher struct {
	mu      sync.Mutex // guards holders and every queue
	holders map[membership.ID]*recordQueue
}

// recordQueue holds the records that wait for one holder.
type recordQueue struct {
	waiting []pendingRecord
	sending bool
}

type pendingRecord struct {
	record submission.Record
	done   chan<- error // buffered
}

// errRefused is returned for records that their holder did not accept.
var errRefused = errors.New("the record holder refused the start record")

// storeRecord stores a start record on its holder and waits for the answer.
func (d *Daemon) storeRecord(ctx context.Context, r submission.Record, holder membership.Member) error {
	done := make(chan error, 1)
	if d.startRecords.add(holder.ID(), pendingRecord{r, done}) {
		go d.sendRecords(holder)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add queues a record and reports whether the caller must send the queue.
func (r *recordBatcher) add(holder membership.ID, p pendingRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == nil {
		r.holders = map[membership.ID]*recordQueue{}
	}
	q := r.holders[holder]
	if q == nil {
		q = &recordQueue{}
		r.holders[holder] = q
	}
	q.waiting = append(q.waiting, p)
	mustSend := !q.sending
	q.sending = true
	return mustSend
}

// take removes and returns the next batch. If the queue is empty, take deletes it,
// so that the next add starts a new sender.
func (r *recordBatcher) take(holder membership.ID) []pendingRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.holders[holder]
	n := min(len(q.waiting), maxRecordBatch)
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	if n == 0 {
		delete(r.holders, holder)
	}
	return batch
}

// sendRecords sends batches to a holder until its queue is empty.
func (d *Daemon) sendRecords(holder membership.Member) {
	for {
		batch := d.startRecords.take(holder.ID())
		if len(batch) == 0 {
			return
		}
		err := d.sendBatch(holder, batch)
		for _, p := range batch {
			p.done <- err
		}
	}
}

func (d *Daemon) sendBatch(holder membership.Member, batch []pendingRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Network.PeerTimeout)
	defer cancel()
	d.metrics.records.Add(int64(len(batch)))
	d.metrics.recordFrames.Add(1)
	records := make([]submission.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	request := &wire.RecordRequest{
		From: encodeMember(d.ownership.View().Self), To: uint64(holder.ID()), Records: encodeRecords(time.Now(), records),
	}
	var response wire.RecordResponse
	if err := d.callMember(ctx, holder, request, &response); err != nil {
		d.checkMember(holder)
		return err
	}
	if !response.Accepted {
		return errRefused
	}
	return nil
}
