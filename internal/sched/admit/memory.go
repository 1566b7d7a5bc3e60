package admit

import (
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// DefaultMemory bounds the request bodies held in memory, in bytes.
const DefaultMemory = 64 << 20

// Memory bounds the bytes of request bodies held in memory; it is safe for concurrent use.
type Memory struct {
	limit int64
	bytes *semaphore.Weighted
}

// NewMemory returns a bound of a number of bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, bytes: semaphore.NewWeighted(limit)}
}

// Hold counts a body, or refuses it as KindFull. Free must be called with the same size once it is dropped.
func (m *Memory) Hold(size int64) error {
	if m.bytes.TryAcquire(size) {
		return nil
	}
	return reject.New(reject.KindFull, reject.WorkNotRun, "the memory of %d bytes for request bodies is used up", m.limit).
		WithRetryAfter(time.Second)
}

// Free ends the count of a body.
func (m *Memory) Free(size int64) { m.bytes.Release(size) }
