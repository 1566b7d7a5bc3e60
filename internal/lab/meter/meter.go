// Package meter measures heap memory, processor time and bytes on connections for benchmarks.
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
	// Objects with finalizers are freed by the second collection, after the first one has run their finalizers.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// CPU returns the user and system time that this process has used.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // Getrusage fails only on invalid arguments.
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Listener counts the bytes that its connections receive and send.
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

// Bytes returns the number of bytes read and written so far.
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

// Read implements net.Conn and counts the bytes read.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
