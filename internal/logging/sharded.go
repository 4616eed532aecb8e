package logging

import (
	"context"
	"log/slog"
	"math/rand/v2"
)

// shardCount is the number of buffers, about the number of threads of an entry VM.
const shardCount = 8

// shardedHandler distributes records randomly over handlers of the same format.
type shardedHandler struct {
	shards [shardCount]slog.Handler
	counts *Counts
}

// Enabled implements slog.Handler.
func (h *shardedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.shards[0].Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *shardedHandler) Handle(ctx context.Context, r slog.Record) error {
	return h.shards[rand.Uint64()%shardCount].Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *shardedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.mapShards(func(shard slog.Handler) slog.Handler { return shard.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *shardedHandler) WithGroup(name string) slog.Handler {
	return h.mapShards(func(shard slog.Handler) slog.Handler { return shard.WithGroup(name) })
}

func (h *shardedHandler) mapShards(derive func(slog.Handler) slog.Handler) slog.Handler {
	derived := &shardedHandler{counts: h.counts}
	for i, shard := range h.shards {
		derived.shards[i] = derive(shard)
	}
	return derived
}
