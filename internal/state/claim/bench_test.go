package claim

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkTransaction builds and encodes the transaction that writes new task records.
func BenchmarkTransaction(b *testing.B) {
	for _, records := range []int{1, 10, 30, 100} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var requests []*request
			for i := range records {
				requests = append(requests, &request{record: Record{Team: "team1",
					ID: KeyID("team1", fmt.Sprint("order", i)), Attempt: 1,
					Owner: "entry-1.01h0000000000000000000000a", Worker: "worker1", Address: "10.0.0.1:8080", Queue: "quotes",
					Pool: "pool1", Slots: 1, Once: true, Key: fmt.Sprint("order", i), Timeout: time.Minute, State: Open,
					Write: "01h0000000000000000000000a", Bucket: "entry-1.01h0000000000000000000000a.29000000"}})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				t, err := transaction(requests)
				if err != nil {
					b.Fatal(err)
				}
				body, err := json.Marshal(t)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}
