package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
)

func historyToWire(task scheduler.Task, h history.Task) wire.TaskHistory {
	return wire.TaskHistory{
		Job: task.Job, Index: task.Index, Failures: h.Failures, Crashes: h.Crashes, CrashesIsolated: h.CrashesIsolated,
		Losses: h.Losses, Suspicion: h.Suspicion,
	}
}

func historyFromWire(h *wire.TaskHistory) history.Task {
	return history.Task{
		Failures: h.Failures, Crashes: h.Crashes, CrashesIsolated: h.CrashesIsolated, Losses: h.Losses, Suspicion: h.Suspicion,
	}
}

// historiesToWire lists the histories of a job's tasks.
func historiesToWire(job string, histories map[int]history.Task) (list []wire.TaskHistory) {
	for index, h := range histories {
		list = append(list, historyToWire(scheduler.Task{Job: job, Index: index}, h))
	}
	return list
}

// historiesFromWire returns the histories of one job's tasks by index.
func historiesFromWire(list []wire.TaskHistory) map[int]history.Task {
	if len(list) == 0 {
		return nil
	}
	histories := make(map[int]history.Task, len(list))
	for i := range list {
		histories[list[i].Index] = historyFromWire(&list[i])
	}
	return histories
}

// recordHistories passes the reports of a dispatcher to the jobs of this origin.
func (n *Node) recordHistories(list []wire.TaskHistory) {
	for i := range list {
		n.jobs.MergeHistory(list[i].Job, list[i].Index, historyFromWire(&list[i]))
	}
}

// sendEndedHistories tells a new dispatcher of the unsuccessful runs of jobs that this
// origin has answered without success.
func (n *Node) sendEndedHistories(v *fleet.View) {
	var list []wire.TaskHistory
	for job, histories := range n.jobs.EndedHistories(time.Now()) {
		list = append(list, historiesToWire(job, histories)...)
	}
	if len(list) == 0 {
		return
	}
	request := &wire.HistoriesRequest{Histories: list}
	if v.Dispatcher.VM == n.config.VM {
		n.mergeHistories(request)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout())
		defer cancel()
		if err := n.peers.Call(ctx, v.Dispatcher.Address, request, &wire.HistoriesResponse{}); err != nil {
			n.log.Info("dispatcher not told of unsuccessful runs", slog.String("dispatcher", v.Dispatcher.VM),
				slog.Int("tasks", len(request.Histories)), slog.Any("error", err))
		}
	}()
}

func (n *Node) handleHistories(_ context.Context, _ *wire.Hello, r *wire.HistoriesRequest) wire.Message {
	n.mergeHistories(r)
	return &wire.HistoriesResponse{}
}

func (n *Node) mergeHistories(r *wire.HistoriesRequest) {
	now := time.Now()
	for i := range r.Histories {
		h := &r.Histories[i]
		n.scheduler.MergeHistory(now, scheduler.Task{Job: h.Job, Index: h.Index}, historyFromWire(h))
	}
}
