package fleet

import (
	"slices"
	"testing"
)

// TestPool guards against a view that changes when its members are read or replaced, and against lookups that miss
// members given out of order.
func TestPool(t *testing.T) {
	given := []PoolMember{{ID: "c"}, {ID: "a"}, {ID: "b", Slots: 1}, {ID: "b", Slots: 2}}
	v := View{}.WithPool("p", given)
	given[0].ID = "z"
	read := v.Pool("p")
	want := []PoolMember{{ID: "a"}, {ID: "b", Slots: 2}, {ID: "c"}}
	if !slices.Equal(read, want) {
		t.Fatalf("pool %v, want %v", read, want)
	}
	read[0].ID = "z"
	for _, m := range want {
		if got, ok := v.PoolMember("p", m.ID); !ok || got != m {
			t.Errorf("member %q: %v, %v", m.ID, got, ok)
		}
		if p, ok := v.PoolOf(m.ID); !ok || p != "p" {
			t.Errorf("pool of %q: %q, %v", m.ID, p, ok)
		}
	}
	if _, ok := v.PoolMember("p", "z"); ok {
		t.Error("a change of the returned members changed the view")
	}
	next := v.WithPool("q", want)
	if !next.SamePool(v, "p") || next.SamePool(v, "q") || v.WithPool("p", want[:2]).SamePool(v, "p") {
		t.Error("a replaced pool counts as unchanged, or an unchanged pool as replaced")
	}
}

// TestMembers guards against members that are lost or duplicated when an incarnation is registered again.
func TestMembers(t *testing.T) {
	v := View{}.WithMember(Member{ID: "b"}).WithMember(Member{ID: "a"}).WithMember(Member{ID: "c"})
	next := v.WithMember(Member{ID: "b", Zone: "east"}).WithoutMember("c").WithoutMember("d")
	if got := next.Members(); !slices.Equal(got, []Member{{ID: "a"}, {ID: "b", Zone: "east"}}) {
		t.Errorf("members %v", got)
	}
	if got := v.Members(); !slices.Equal(got, []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}) {
		t.Errorf("the previous view has members %v", got)
	}
	if m, ok := next.Member("b"); !ok || m.Zone != "east" {
		t.Errorf("member b: %v, %v", m, ok)
	}
	if _, ok := next.Member("c"); ok {
		t.Error("a removed member is found")
	}
}
