package inlet

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

const (
	// firstBlock is the size of the first block of a body in bytes, blockSize that of the others.
	firstBlock = 4 << 10
	blockSize  = 32 << 10
	// fullRetryAfter is when a caller may try again for whose body there was no memory.
	fullRetryAfter = time.Second
)

var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// Body is a request body in memory, for which bytes are reserved until Release.
type Body struct {
	inlet *Inlet
	// connection is that of the request, nil without one.
	connection *connection
	first      []byte
	blocks     []*[blockSize]byte
	// size is the number of bytes received, reserved the number of bytes reserved.
	size     int
	reserved int64
}

// ReadBody reads the body of a request, of at most a number of bytes, and returns a rejection of work that has not run if it
// is larger, does not arrive or finds no memory. The caller must call Release in any case.
func (i *Inlet) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	b := &Body{inlet: i, connection: connectionOf(r)}
	if c := b.connection; c != nil {
		i.receive(c, b)
		defer i.serve(c)
	}
	from := http.MaxBytesReader(w, r.Body, limit)
	for {
		space, err := b.space()
		if err != nil {
			return b, err
		}
		n, err := from.Read(space)
		b.size += n
		tooLarge := (*http.MaxBytesError)(nil)
		switch {
		case errors.Is(err, io.EOF):
			if c := b.connection; c != nil && !i.serve(c) {
				return b, errClosed()
			}
			return b, nil
		case errors.As(err, &tooLarge):
			return b, reject.New(reject.KindBody, reject.WorkNotRun, "body over %d bytes", limit)
		case err != nil:
			return b, reject.New(reject.KindRequest, reject.WorkNotRun, "body not received").WithCause(err)
		}
	}
}

// space returns free space for the next bytes.
func (b *Body) space() ([]byte, error) {
	if b.first == nil {
		if err := b.reserve(firstBlock); err != nil {
			return nil, err
		}
		b.first = make([]byte, firstBlock)
	}
	if b.size < firstBlock {
		return b.first[b.size:], nil
	}
	used := b.size - firstBlock
	if used == len(b.blocks)*blockSize {
		if err := b.reserve(blockSize); err != nil {
			return nil, err
		}
		b.blocks = append(b.blocks, blocks.Get().(*[blockSize]byte))
	}
	return b.blocks[len(b.blocks)-1][used%blockSize:], nil
}

// receive records that a connection waits for the body of its request.
func (i *Inlet) receive(c *connection, b *Body) {
	i.wait(c)
	i.mu.Lock()
	defer i.mu.Unlock()
	if !c.gone {
		c.body = b
		c.upload = i.uploads.PushBack(c)
	}
}

// reserve reserves bytes. While there are too few it closes the connections whose bodies have been arriving for longest. A
// body that is alone always finds room, since the limit of a single body is the operators'.
func (b *Body) reserve(n int64) error {
	i := b.inlet
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.bodies+n > i.limits.Bodies && i.bodies > b.reserved {
		if b.connection != nil && b.connection.gone {
			return errClosed()
		}
		if i.bodies-i.doomed+n <= i.limits.Bodies {
			i.changed.Wait()
			continue
		}
		oldest := i.uploads.Front()
		if oldest != nil && i.letWait(oldest.Value.(*connection).since) {
			continue
		}
		if oldest == nil || oldest.Value.(*connection) == b.connection {
			i.rejected.Inc(1)
			i.report()
			return reject.New(reject.KindFull, reject.WorkNotRun, "the memory of %d bytes for request bodies is used up",
				i.limits.Bodies).WithRetryAfter(fullRetryAfter)
		}
		i.evict(oldest.Value.(*connection))
	}
	i.bodies += n
	b.reserved += n
	if b.isDoomed() {
		i.doomed += n
	}
	return nil
}

// errClosed is the rejection of a request whose connection has been closed in favour of another one; the caller does not get it.
func errClosed() error { return reject.New(reject.KindRequest, reject.WorkNotRun, "body not received") }

// isDoomed reports whether the connection has been closed while the body was received; the inlet's mu must be held.
func (b *Body) isDoomed() bool {
	return b.connection != nil && b.connection.gone && b.connection.body == b
}

// Bytes returns the body in one piece, which is valid until Release.
func (b *Body) Bytes() []byte {
	if len(b.blocks) == 0 {
		return b.first[:b.size]
	}
	all := slices.Grow([]byte(nil), b.size)
	all = append(all, b.first...)
	for _, x := range b.blocks {
		all = append(all, x[:min(blockSize, b.size-len(all))]...)
	}
	return all
}

// maxDrain is the largest rest of a body in bytes that is read after the response to its request.
const maxDrain = 256 << 10

// Drain reads the rest of a request's body after its response has been sent, since closing the connection before would reset
// it. The connection waits for its caller meanwhile.
func (i *Inlet) Drain(r *http.Request) {
	if c := connectionOf(r); c != nil {
		i.wait(c)
	}
	// The caller has the response, whatever becomes of the rest.
	_, _ = io.CopyN(io.Discard, r.Body, maxDrain)
}

// Release ends the reservation of the body's bytes.
func (b *Body) Release() {
	for _, x := range b.blocks {
		blocks.Put(x)
	}
	b.first, b.blocks = nil, nil
	i := b.inlet
	i.mu.Lock()
	defer i.mu.Unlock()
	if b.isDoomed() {
		i.doomed -= b.reserved
	}
	if c := b.connection; c != nil && c.body == b {
		c.body = nil
	}
	i.bodies -= b.reserved
	b.reserved = 0
	i.changed.Broadcast()
}
