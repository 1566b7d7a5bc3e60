package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/meter"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// encodeAndDecode encodes and decodes a message and reports its encoded size.
func encodeAndDecode[M Message](b *testing.B, m M) {
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		encoded, err := codec{}.Marshal(&m)
		if err != nil {
			b.Fatal(err)
		}
		var decoded M
		if err := (codec{}).Unmarshal(encoded, &decoded); err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "wire-B")
}

func pollRequest(tasks, teams int) PollRequest {
	q := PollRequest{From: "entry-1.01h0000000000000000000000a", Pool: "pool1", Sequence: 1 << 20}
	for i := range teams {
		q.Demand = append(q.Demand, Demand{
			Team: fleet.TeamName(fmt.Sprint("team", i)), Waiting: 100, Usable: 10, Oldest: time.Second,
		})
	}
	for i := range tasks {
		q.Occupied = append(q.Occupied, Occupied{Task: fleet.TaskID(fmt.Sprintf("01h00000000000000000%06d.1", i)),
			Worker: fleet.InstanceID(fmt.Sprint("worker", i/8)), Team: fleet.TeamName(fmt.Sprint("team", i%170)), Slots: 1})
	}
	return q
}

// BenchmarkPollTasks encodes and decodes the poll of an entry instance that runs tasks in the pool.
func BenchmarkPollTasks(b *testing.B) {
	for _, tasks := range []int{0, 10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { encodeAndDecode(b, pollRequest(tasks, 0)) })
	}
}

// BenchmarkPollTeams encodes and decodes the poll of an entry instance with teams that wait for the pool.
func BenchmarkPollTeams(b *testing.B) {
	for _, teams := range []int{0, 10, 30, 170} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { encodeAndDecode(b, pollRequest(0, teams)) })
	}
}

// BenchmarkPush encodes and decodes the push of one revision with one item.
func BenchmarkPush(b *testing.B) {
	for _, bytes := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("bytes=%d", bytes), func(b *testing.B) {
			encodeAndDecode(b, PushRequest{From: "entry-1.01h0000000000000000000000a", Deltas: []fleet.Delta{{Revision: 1 << 20,
				Author: "upkeep", WriteID: "01h0000000000000000000000a",
				Items: []fleet.Item{{Key: "view/pool/pool1", Value: make([]byte, bytes)}}}}})
		})
	}
}

// BenchmarkSyncCalls calls Sync over loopback without anything new, as members do twice a second. The processor time is
// that of client and server together.
func BenchmarkSyncCalls(b *testing.B) {
	for _, members := range []int{2, 6, 12, 24} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchmarkCalls(b, members-1) })
	}
}

func benchmarkCalls(b *testing.B, peers int) {
	ctx, cancel := context.WithCancel(context.Background())
	l, err := meter.Listen()
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer("token")
	Handle(s, MethodSync, func(context.Context, SyncRequest) (SyncReply, error) {
		return SyncReply{From: "entry-2.01h0000000000000000000000a", Revision: 1 << 20}, nil
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx, l)
	}()
	c := NewClient("token")
	defer func() {
		_ = c.Close()
		cancel()
		<-ended
	}()
	q := SyncRequest{From: "entry-1.01h0000000000000000000000a", Revision: 1 << 20}
	bytes, cpu := l.Bytes(), meter.CPU()
	for b.Loop() {
		for range peers {
			if _, err := Call(ctx, c, l.Addr().String(), MethodSync, q); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(meter.CPU()-cpu)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(l.Bytes()-bytes)/float64(b.N), "wire-B")
}
