package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/lab/meter"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// BenchmarkReport reads the status of a worker with tasks over HTTP. The CPU time includes client and server.
func BenchmarkReport(b *testing.B) {
	for _, tasks := range []int{0, 2, 8, 32} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchmarkReport(b, tasks) })
	}
}

func benchmarkReport(b *testing.B, tasks int) {
	report := Report{Instance: "worker1", Slots: 8, Used: tasks, Version: "v1", Boot: "01h0000000000000000000000a"}
	for i := range tasks {
		report.Tasks = append(report.Tasks, ReportedTask{Task: fleet.TaskID(fmt.Sprintf("01h00000000000000000%06d.1", i)),
			Team: "team1", State: Running})
	}
	body, err := json.Marshal(report)
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
	c, address := NewClient(), strings.TrimPrefix(s.URL, "http://")
	bytes, cpu := l.Bytes(), meter.CPU()
	for b.Loop() {
		if _, err := c.Report(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(meter.CPU()-cpu)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(l.Bytes()-bytes)/float64(b.N), "wire-B")
}
