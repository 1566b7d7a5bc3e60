package admit

import (
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// DefaultMemory is the default bound of request bodies in memory, in bytes.
const DefaultMemory = 64 << 20

// Memory bounds the bytes of request bodies in memory; it is safe for concurrent use.
type Memory struct {
	limit int64
	bytes *semaphore.Weighted
}

// NewMemory returns a Memory with a bound in bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, bytes: semaphore.NewWeighted(limit)}
}

// Acquire reserves the bytes of a body or returns a rejection of KindFull. The caller must release the same size once
// the body is no longer in memory.
func (m *Memory) Acquire(size int64) error {
	if m.bytes.TryAcquire(size) {
		return nil
	}
	return reject.New(reject.KindFull, reject.WorkNotRun, "the memory of %d bytes for request bodies is used up", m.limit).
		WithRetryAfter(time.Second)
}

// Release ends the reservation of a body's bytes.
func (m *Memory) Release(size int64) { m.bytes.Release(size) }
