package capacity

import (
	"fmt"
	"time"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

const (
	retention   = 10 * time.Minute
	tableBudget = 1 << 34 // bytes; more than any measurement needs
)

// submissionCounts are the numbers of retained submissions at which costs are
// measured.
var submissionCounts = []int{10_000, 20_000, 40_000, 80_000}

func newRecord(number int) submission.Record {
	return submission.Record{
		ID:     submission.ID{Caller: "museum-01", Key: fmt.Sprintf("01JDZ7YQ8V5N3W2K4M%08d", number)},
		Digest: uint64(number), Starter: 1, Expires: epoch.Add(retention),
	}
}

// tableWithResults returns a table of n finished submissions with their results.
func tableWithResults(n int) *submission.Table {
	table := submission.NewTable(tableBudget)
	for i := range n {
		_, entry, _ := table.Begin(epoch, newRecord(i))
		results := make([][]byte, tasksPerJob)
		for task := range results {
			results[task] = []byte(taskResult)
		}
		table.Finish(entry, submission.Outcome{Results: results})
	}
	return table
}

// tableWithRecords returns the table of a VM that holds n start records.
func tableWithRecords(n int) *submission.Table {
	table := submission.NewTable(tableBudget)
	for i := range n {
		table.StoreRecord(epoch, newRecord(i))
	}
	return table
}

func ownerBenchmarks(size Size) []benchmark {
	retained := size.JobsPerVM() * retention.Seconds()
	return []benchmark{
		{
			name: "answer_memory", role: "entry VM as owner", driver: "submissions kept", unit: "bytes",
			sizes: submissionCounts, target: retained,
			measure: func(n int) float64 { return heapBytes(func() any { return tableWithResults(n) }) },
		},
		{
			name: "record_memory", role: "entry VM as record holder", driver: "submissions kept", unit: "bytes",
			sizes: submissionCounts, target: retained,
			measure: func(n int) float64 { return heapBytes(func() any { return tableWithRecords(n) }) },
		},
		{
			name: "begin_time", role: "entry VM as owner", driver: "submissions kept", unit: "ns",
			sizes: submissionCounts, target: retained,
			measure: func(n int) float64 {
				table := tableWithRecords(n)
				return meanNanoseconds(iterations, func() {
					n++
					_, entry, _ := table.Begin(epoch, newRecord(n))
					table.Finish(entry, submission.Outcome{Results: [][]byte{[]byte(taskResult)}})
				})
			},
		},
		{
			name: "record_bytes", role: "entry VM as owner", driver: "records of a batch", unit: "bytes",
			sizes: []int{1, 4, 16, 64}, target: 1,
			measure: func(n int) float64 { return float64(recordBytes(n)) },
		},
	}
}

// recordBytes returns the total size of a batch of start records and its
// response.
func recordBytes(n int) int {
	request := wire.RecordRequest{From: wire.Member{VM: "entry-01", Incarnation: 1 << 50, DataCentre: "casablanca", Address: "10.0.0.1:8081"}}
	for i := range n {
		r := newRecord(i)
		request.Records = append(request.Records, wire.StartRecord{Caller: r.ID.Caller, Key: r.ID.Key, Digest: r.Digest})
	}
	return encodedSize(&request, &wire.RecordResponse{Accepted: true})
}

func encodedSize(messages ...wire.Message) int {
	total := 0
	for _, m := range messages {
		encoded, err := m.MarshalMsg(nil)
		if err != nil {
			panic(err) // the messages are always encodable
		}
		total += len(encoded)
	}
	return total
}

func newMembers(n int, dataCentre string) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		members[i] = membership.Member{
			VM: fmt.Sprintf("entry-%03d", i), Incarnation: uint64(1<<50 + i), DataCentre: dataCentre, Address: "10.0.0.1:8081",
		}
	}
	return members
}

// newMemberTable returns the membership table of a VM that knows n members.
func newMemberTable(n int) *membership.Table {
	const dataCentre = "casablanca"
	members := newMembers(n, dataCentre)
	table := membership.NewTable(epoch, membership.Config{Self: members[0], DataCentres: []string{dataCentre}, Retention: retention})
	var facts []membership.Fact
	for _, m := range members {
		facts = append(facts, membership.Fact{Member: m, Admitted: true})
	}
	table.MergeFacts(epoch, facts)
	for _, m := range members {
		table.AddToRanking(epoch, m)
	}
	return table
}

func membershipBenchmarks(size Size) []benchmark {
	sizes := []int{25, 50, 100, 200}
	return []benchmark{
		{
			name: "member_memory", role: "every entry VM", driver: "entry VMs known", unit: "bytes",
			sizes: sizes, target: size.VMs(),
			measure: func(n int) float64 { return heapBytes(func() any { return newMemberTable(n) }) },
		},
		{
			name: "view_time", role: "every entry VM", driver: "entry VMs known", unit: "ns",
			sizes: sizes, target: size.VMs(),
			measure: func(n int) float64 {
				table := newMemberTable(n)
				fact := membership.Fact{Member: newMembers(n, "casablanca")[n-1], Admitted: true}
				return meanNanoseconds(50, func() { table.MergeFacts(epoch, []membership.Fact{fact}) })
			},
		},
		{
			name: "rank_time", role: "every entry VM", driver: "entry VMs of the data centre", unit: "ns",
			sizes: []int{4, 8, 16, 32}, target: size.VMsPerDataCentre(),
			measure: func(n int) float64 {
				view := newMemberTable(n).View()
				hash := uint64(0)
				return meanNanoseconds(iterations, func() {
					hash += 0x9e3779b97f4a7c15
					view.Ranked("casablanca", hash)
				})
			},
		},
		{
			name: "heartbeat_bytes", role: "every entry VM", driver: "changed facts", unit: "bytes",
			sizes: []int{0, 1, 4, 16}, target: 0,
			measure: func(n int) float64 { return float64(heartbeatBytes(n)) },
		},
	}
}

// heartbeatBytes returns the total size of a heartbeat with changed facts and its
// empty response.
func heartbeatBytes(facts int) int {
	from := wire.Member{VM: "entry-001", Incarnation: 1 << 50, DataCentre: "casablanca", Address: "10.0.0.1:8081"}
	request := wire.Heartbeat{From: from, Version: 1000, Acked: 1000}
	for range facts {
		request.Facts = append(request.Facts, wire.Fact{Member: from, Admitted: true})
	}
	return encodedSize(&request, &wire.Heartbeat{From: from, Version: 1000, Acked: 1000})
}
