package logging

import (
	"context"
	"log/slog"
	"math/rand/v2"
)

// shardCount is about the number of threads of an entry VM.
const shardCount = 8

// sharded spreads records at random over handlers of the same form.
type sharded struct{ shards [shardCount]slog.Handler }

// Enabled implements slog.Handler.
func (h *sharded) Enabled(ctx context.Context, level slog.Level) bool {
	return h.shards[0].Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *sharded) Handle(ctx context.Context, r slog.Record) error {
	return h.shards[rand.Uint64()%shardCount].Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *sharded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.each(func(shard slog.Handler) slog.Handler { return shard.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *sharded) WithGroup(name string) slog.Handler {
	return h.each(func(shard slog.Handler) slog.Handler { return shard.WithGroup(name) })
}

func (h *sharded) each(derive func(slog.Handler) slog.Handler) slog.Handler {
	derived := &sharded{}
	for i, shard := range h.shards {
		derived.shards[i] = derive(shard)
	}
	return derived
}
