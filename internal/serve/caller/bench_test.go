package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
)

type echoTasks struct{ Tasks }

func (echoTasks) Submit(_ context.Context, j runner.Job) (runner.Answer, error) {
	return runner.Answer{ID: "01h0000000000000000000000a", Body: j.Input}, nil
}

type freshView struct{ view fleet.View }

func (v freshView) View() fleet.View { return v.view }
func (v freshView) Fresh() error     { return nil }

func benchView(teams int) fleet.View {
	doc := fleet.Document{Queues: map[fleet.QueueName]fleet.QueueSection{}, Keys: map[fleet.TeamName]fleet.KeysSection{}}
	sum := sha256.Sum256([]byte("saltsecret"))
	for i := range teams {
		t := fleet.TeamName(fmt.Sprint("team", i))
		doc.Queues[fleet.QueueName(fmt.Sprint("queue", i))] = fleet.QueueSection{Team: t, Pool: "pool1"}
		var keys []fleet.Key
		for k := range 3 {
			keys = append(keys, fleet.Key{ID: fmt.Sprintf("k%dx%d", i, k), Role: fleet.RoleSubmit, Salt: hex.EncodeToString([]byte("salt")),
				Hash: hex.EncodeToString(sum[:])})
		}
		doc.Keys[t] = fleet.KeysSection{Keys: keys}
	}
	return fleet.View{}.WithRevision(1).WithDocument(doc)
}

// BenchmarkSubmit authenticates and answers a request with a body of the given size, without a connection or a task.
func BenchmarkSubmit(b *testing.B) {
	for _, bytes := range []int{0, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("bytes=%d", bytes), func(b *testing.B) {
			h := New(echoTasks{}, freshView{benchView(170)}).Handler()
			body := strings.Repeat("x", bytes)
			b.ReportAllocs()
			for b.Loop() {
				q := httptest.NewRequest(http.MethodPost, "/v1/queues/queue1/tasks", strings.NewReader(body))
				q.Header.Set("Authorization", "Bearer yh_k1x0_secret")
				w := httptest.NewRecorder()
				if h.ServeHTTP(w, q); w.Code != http.StatusOK {
					b.Fatal(w.Code, w.Body)
				}
			}
		})
	}
}

// BenchmarkKeys indexes the keys of teams with three keys each, as the first request after each new revision does.
func BenchmarkKeys(b *testing.B) {
	for _, teams := range []int{6, 30, 170} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			v, k := benchView(teams), &keyring{}
			b.ReportAllocs()
			for b.Loop() {
				v = v.WithRevision(v.Revision() + 1)
				k.index(v)
			}
		})
	}
}
