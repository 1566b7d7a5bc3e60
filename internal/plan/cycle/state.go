package cycle

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxStateBytes bounds the encoded state, which is one row of the store.
const MaxStateBytes = 16 << 10

// errInvalidState means that a stored state contradicts itself.
var errInvalidState = errors.New("cycle: invalid state")

// storedProfile is a Profile with ages instead of times.
type storedProfile struct {
	Pool      string          `cbor:"pool"`
	Bursts    int             `cbor:"bursts"`
	StartAges []time.Duration `cbor:"startAges"`
	Length    time.Duration   `cbor:"length"`
	Mean      float64         `cbor:"mean"`
	Peak      float64         `cbor:"peak"`
	Rise      []float64       `cbor:"rise"`
	Next      string          `cbor:"next"`
}

// storedModel is a Model at the store's time At.
type storedModel struct {
	At         time.Duration   `cbor:"at"`
	Pools      []storedProfile `cbor:"pools"`
	Current    string          `cbor:"current"`
	CurrentAge time.Duration   `cbor:"currentAge"`
	Lags       []time.Duration `cbor:"lags"`
	Misses     int             `cbor:"misses"`
	Hits       int             `cbor:"hits"`
	Discarded  bool            `cbor:"discarded"`
	Overdue    bool            `cbor:"overdue"`
}

// Encode returns the state at the time at of the store's clock.
func (m *Model) Encode(now time.Time, at time.Duration) ([]byte, error) {
	s := storedModel{At: at, Current: m.current, CurrentAge: now.Sub(m.currentAt), Lags: m.lags, Misses: m.misses, Hits: m.hits,
		Discarded: m.discarded, Overdue: m.overdue}
	for _, p := range m.Profiles() {
		x := storedProfile{Pool: p.Pool, Bursts: p.Bursts, Length: p.Length, Mean: p.Mean, Peak: p.Peak, Rise: p.Rise[:], Next: p.Next}
		for _, t := range p.Starts {
			x.StartAges = append(x.StartAges, now.Sub(t))
		}
		s.Pools = append(s.Pools, x)
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("cycle: encoding the state: %w", err)
	}
	if len(b) > MaxStateBytes {
		return nil, fmt.Errorf("cycle: state of %d bytes is too large", len(b))
	}
	return b, nil
}

// maxRate is more than any pool has, in thousandths of a core.
const maxRate = 1e12

func validRate(x float64) bool { return x >= 0 && x <= maxRate }

// Decode returns the model that Encode stored, at the time at of the store's clock.
func Decode(b []byte, now time.Time, at time.Duration) (*Model, error) {
	var s storedModel
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("cycle: decoding the state: %w", err)
	}
	if len(b) > MaxStateBytes || len(s.Pools) > MaxPools || len(s.Lags) > kept || s.Misses < 0 || s.Misses >= maxMisses || s.Hits < 0 {
		return nil, errInvalidState
	}
	stored := now.Add(-max(at-s.At, 0))
	m := New()
	for _, x := range s.Pools {
		if x.Pool == "" || x.Bursts < 0 || x.Length < 0 || !validRate(x.Mean) || !validRate(x.Peak) || len(x.StartAges) > kept || m.pools[x.Pool] != nil {
			return nil, errInvalidState
		}
		if len(x.Rise) != riseSteps || slices.ContainsFunc(x.Rise, func(r float64) bool { return !(r >= 0 && r <= 1) }) {
			return nil, errInvalidState
		}
		p := &Profile{Pool: x.Pool, Bursts: x.Bursts, Length: x.Length, Mean: x.Mean, Peak: x.Peak, Rise: [riseSteps]float64(x.Rise), Next: x.Next}
		for i, age := range x.StartAges {
			if i > 0 && age >= x.StartAges[i-1] {
				return nil, errInvalidState
			}
			p.Starts = append(p.Starts, stored.Add(-age))
		}
		m.pools[x.Pool] = p
	}
	for _, x := range s.Pools {
		if x.Next != "" && m.pools[x.Next] == nil {
			return nil, errInvalidState
		}
	}
	for _, d := range s.Lags {
		if d <= 0 {
			return nil, errInvalidState
		}
	}
	if s.Current != "" && m.pools[s.Current] == nil {
		return nil, errInvalidState
	}
	for _, p := range m.pools {
		m.highest = max(m.highest, p.Peak)
	}
	m.current, m.lags, m.misses, m.hits, m.discarded, m.overdue = s.Current, s.Lags, s.Misses, s.Hits, s.Discarded, s.Overdue
	if m.current != "" {
		m.currentAt = stored.Add(-s.CurrentAge)
		m.watches[m.current] = &watch{restored: true}
	}
	return m, nil
}
