package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// editRetryInterval is the pause before an edit that failed is sent again.
const editRetryInterval = 100 * time.Millisecond

// operator edits the document through the entry instances in round-robin order.
type operator struct {
	endpoints []string
	token     string
	client    *http.Client
	sink      record.Sink[record.Edit]
}

func newOperator(endpoints []string, token string, sink record.Sink[record.Edit]) *operator {
	return &operator{endpoints: endpoints, token: token, client: &http.Client{Timeout: 5 * time.Second}, sink: sink}
}

// editTimes holds when an edit was first sent and when it was accepted.
type editTimes struct {
	sent, accepted record.Stamp
}

// put sends an edit until it is accepted, the context ends or the edit is declined with a status below 500.
func (o *operator) put(ctx context.Context, path, body string) (editTimes, error) {
	s := editTimes{sent: record.Now()}
	for n := 0; ; n++ {
		status, detail, err := o.send(ctx, o.endpoints[n%len(o.endpoints)]+path, body)
		switch {
		case err == nil && status < http.StatusMultipleChoices:
			s.accepted = record.Now()
			return s, nil
		case err == nil && status < http.StatusInternalServerError:
			return s, fmt.Errorf("demo: edit %s: status %d: %s", path, status, detail)
		}
		select {
		case <-ctx.Done():
			return s, fmt.Errorf("demo: edit %s: status %d: %s: %w (%v)", path, status, detail, ctx.Err(), err)
		case <-time.After(editRetryInterval):
		}
	}
}

func (o *operator) send(ctx context.Context, url, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+o.token)
	r.Header.Set("If-Match", "*")
	res, err := o.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	return res.StatusCode, string(b), err
}

func (o *operator) setZone(ctx context.Context, z fleet.AvailabilityZone, s fleet.ZoneState) (editTimes, error) {
	t, err := o.put(ctx, "/v1/document/sections/zone/"+string(z), mustYAML(zoneSection(s)))
	if err == nil {
		o.sink.Write(record.Edit{Kind: record.EditZone, Sent: t.sent, Time: t.accepted, Zone: z, State: s})
	}
	return t, err
}

func (o *operator) setCeiling(ctx context.Context, c Customer, ceiling int) error {
	t, err := o.put(ctx, "/v1/document/sections/team/"+c.Name, mustYAML(c.teamSection(ceiling)))
	if err == nil {
		o.sink.Write(record.Edit{Kind: record.EditCeiling, Sent: t.sent, Time: t.accepted, Team: c.team(), Count: ceiling})
	}
	return err
}
