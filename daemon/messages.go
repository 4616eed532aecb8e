package daemon

import (
	"time"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/ownership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

func encodeMember(m membership.Member) wire.Member {
	return wire.Member{VM: m.VM, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address}
}

func decodeMember(m wire.Member) membership.Member {
	return membership.Member{VM: m.VM, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address}
}

func encodeIDs(ids []membership.ID) []uint64 {
	var out []uint64
	for _, id := range ids {
		out = append(out, uint64(id))
	}
	return out
}

func decodeIDs(ids []uint64) []membership.ID {
	var out []membership.ID
	for _, id := range ids {
		out = append(out, membership.ID(id))
	}
	return out
}

func encodeFacts(facts []membership.Fact) []wire.Fact {
	var out []wire.Fact
	for _, f := range facts {
		out = append(out, wire.Fact{
			Member: encodeMember(f.Member), Admitted: f.Admitted, Leaving: f.Leaving, Termination: uint8(f.Termination),
		})
	}
	return out
}

func decodeFacts(facts []wire.Fact) []membership.Fact {
	var out []membership.Fact
	for _, f := range facts {
		out = append(out, membership.Fact{
			Member: decodeMember(f.Member), Admitted: f.Admitted, Leaving: f.Leaving, Termination: membership.Proof(f.Termination),
		})
	}
	return out
}

func encodeDigest(d *membership.Digest) *wire.Heartbeat {
	return &wire.Heartbeat{
		From: encodeMember(d.From), Version: d.Version, Acked: d.Acked,
		Facts: encodeFacts(d.Facts), Suspects: encodeIDs(d.Suspects),
	}
}

func decodeDigest(m *wire.Heartbeat) *membership.Digest {
	return &membership.Digest{
		From: decodeMember(m.From), Version: m.Version, Acked: m.Acked,
		Facts: decodeFacts(m.Facts), Suspects: decodeIDs(m.Suspects),
	}
}

func encodeRecords(now time.Time, records []submission.Record) []wire.StartRecord {
	out := make([]wire.StartRecord, len(records))
	for i, r := range records {
		out[i] = wire.StartRecord{
			Caller: r.ID.Caller, Key: r.ID.Key, Digest: r.Digest, Starter: uint64(r.Starter),
			Contested: r.Contested, TTLMS: r.Expires.Sub(now).Milliseconds(),
		}
		if r.Outcome == nil {
			continue
		}
		out[i].Verdict, out[i].Results = uint8(verdict.Complete), r.Outcome.Results
		if failure := r.Outcome.Failure; failure != nil {
			out[i].Verdict, out[i].Code, out[i].Reason = uint8(failure.Verdict), uint8(failure.Code), failure.Reason
		}
	}
	return out
}

func decodeRecords(now time.Time, records []wire.StartRecord) []submission.Record {
	out := make([]submission.Record, len(records))
	for i, r := range records {
		out[i] = submission.Record{
			ID: submission.ID{Caller: r.Caller, Key: r.Key}, Digest: r.Digest, Starter: membership.ID(r.Starter),
			Contested: r.Contested, Expires: now.Add(time.Duration(r.TTLMS) * time.Millisecond),
		}
		if v := verdict.Verdict(r.Verdict); v != verdict.Unknown {
			outcome := decodeOutcome(&wire.SubmitResponse{Verdict: r.Verdict, Code: r.Code, Reason: r.Reason, Results: r.Results})
			out[i].Outcome = &outcome
		}
	}
	return out
}

func encodeTransfer(now time.Time, m *ownership.Transfer) *wire.TransferRequest {
	request := &wire.TransferRequest{
		From: encodeMember(m.From), To: uint64(m.To), Admitted: m.Admitted,
		Records: encodeRecords(now, m.Records), Last: m.Last, Departed: encodeIDs(m.Departed),
	}
	for _, g := range m.Gaps {
		request.Gaps = append(request.Gaps, wire.HistoryGap{
			All: g.All, First: uint64(g.Departed[0]), Second: uint64(g.Departed[1]), Observer: uint64(g.Observer),
			TTLMS: g.Until.Sub(now).Milliseconds(),
		})
	}
	return request
}

func decodeTransfer(now time.Time, m *wire.TransferRequest) *ownership.Transfer {
	transfer := &ownership.Transfer{
		From: decodeMember(m.From), To: membership.ID(m.To), Admitted: m.Admitted,
		Records: decodeRecords(now, m.Records), Last: m.Last, Departed: decodeIDs(m.Departed),
	}
	for _, g := range m.Gaps {
		transfer.Gaps = append(transfer.Gaps, ownership.HistoryGap{
			All: g.All, Departed: [2]membership.ID{membership.ID(g.First), membership.ID(g.Second)},
			Observer: membership.ID(g.Observer), Until: now.Add(time.Duration(g.TTLMS) * time.Millisecond),
		})
	}
	return transfer
}
