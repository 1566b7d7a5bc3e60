// Package meter measures memory, processor time and bytes on connections for benchmarks.
package meter

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Heap returns the bytes of live heap objects after a garbage collection.
func Heap() uint64 {
	// The first collection runs finalizers, whose objects the second one frees.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// CPU returns the processor time that this process has used, in user and system mode.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constant and valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Listener counts the bytes of its connections in both directions.
type Listener struct {
	net.Listener
	bytes atomic.Int64
}

// Listen listens on a free loopback port.
func Listen() (*Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l}, nil
}

// Bytes returns the bytes that were read and written so far.
func (l *Listener) Bytes() int64 { return l.bytes.Load() }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, &l.bytes}, nil
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
