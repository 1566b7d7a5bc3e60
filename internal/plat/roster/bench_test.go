package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/lab/meter"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// BenchmarkList reads the roster over HTTP. Nearly all of the CPU time is the client's: the reply is encoded only once.
func BenchmarkList(b *testing.B) {
	for _, instances := range []int{56, 300, 1_000, 3_000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) { benchmarkList(b, instances) })
	}
}

func benchmarkList(b *testing.B, instances int) {
	var reply ListReply
	for i := range instances {
		reply.Instances = append(reply.Instances, Listing{ID: fleet.InstanceID(fmt.Sprint("worker", i)), Kind: Worker,
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Zone: fleet.AvailabilityZone(fmt.Sprint("zone", i%8)),
			Rack: fmt.Sprint("rack", i/4), Slots: 8, State: Live})
	}
	body, err := json.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	l, err := meter.Listen()
	if err != nil {
		b.Fatal(err)
	}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}))
	s.Listener = l
	s.Start()
	defer s.Close()
	c := NewClient(s.URL)
	bytes, cpu := l.Bytes(), meter.CPU()
	for b.Loop() {
		if _, err := c.List(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(meter.CPU()-cpu)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(l.Bytes()-bytes)/float64(b.N), "wire-B")
}
