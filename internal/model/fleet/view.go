package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Item is one changed key of the view; an absent Value means that the key was removed.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// Delta is the change of the view by one revision.
type Delta struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author,omitempty"`
	// WriteID is unique per write attempt; it resolves the outcome of writes whose reply was lost.
	WriteID string `json:"write,omitempty"`
	Items   []Item `json:"items"`
}

// Section is a document section as operators wrote it.
type Section struct {
	Name string `json:"name"`
	// Version is the revision of the view that last changed the section.
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// ZoneStatus is the state of an availability zone with the revision that set it.
type ZoneStatus struct {
	State ZoneState `json:"state"`
	// Generation is the revision of the view at which State last changed.
	Generation uint64 `json:"generation"`
}

// Member is a registered entry instance.
type Member struct {
	ID EntryID `json:"id"`
	// Address is the host and port of the internal protocol, Caller that of the HTTP interface.
	Address string           `json:"address"`
	Caller  string           `json:"caller"`
	Zone    AvailabilityZone `json:"zone"`
}

// InstanceState is the planned state of an instance of a pool.
type InstanceState string

// The planned states of an instance.
const (
	InstanceActive    InstanceState = "active"
	InstanceDraining  InstanceState = "draining"
	InstanceRebooting InstanceState = "rebooting"
)

// PoolMember is one instance's membership of a pool.
type PoolMember struct {
	ID      InstanceID       `json:"id"`
	Address string           `json:"address"`
	Zone    AvailabilityZone `json:"zone"`
	Rack    string           `json:"rack"`
	Slots   int              `json:"slots"`
	State   InstanceState    `json:"state"`
	// Target is the pool that a draining or rebooting instance is in after its reboot, or the spare pool that an active
	// instance is lent from; otherwise empty.
	Target PoolName `json:"target,omitempty"`
	// Version is the last system version that the instance reported.
	Version string `json:"version,omitempty"`
}

// View is an immutable snapshot of the document, the entry instances and the pools' members at one revision.
type View struct {
	revision uint64
	document Document
	sections map[string]Section
	zones    map[AvailabilityZone]ZoneStatus
	members  []Member                  // sorted by identifier
	pools    map[PoolName][]PoolMember // each sorted by identifier
}

// Revision returns the view's revision, which is 0 for the empty view.
func (v View) Revision() uint64 { return v.revision }

// Document returns the decoded document; callers must not change it.
func (v View) Document() Document { return v.document }

// Section returns a section by name.
func (v View) Section(name string) (Section, bool) {
	s, ok := v.sections[name]
	return s, ok
}

// Sections returns every section sorted by name.
func (v View) Sections() []Section {
	return slices.SortedFunc(maps.Values(v.sections), func(a, b Section) int { return cmp.Compare(a.Name, b.Name) })
}

// Zone returns the status of an availability zone; a zone without a stored status is in service with
// generation 0.
func (v View) Zone(z AvailabilityZone) ZoneStatus {
	if s, ok := v.zones[z]; ok {
		return s
	}
	return ZoneStatus{State: ZoneIn}
}

// Member returns a registered entry instance.
func (v View) Member(id EntryID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, id, compareMember)
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Members returns every registered entry instance sorted by identifier.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Pool returns the members of a pool sorted by identifier.
func (v View) Pool(p PoolName) []PoolMember { return slices.Clone(v.pools[p]) }

// SamePool reports whether a pool is unchanged between two views, one of which was derived from the other. A pool that
// was replaced by equal members counts as changed.
func (v View) SamePool(o View, p PoolName) bool {
	a, b := v.pools[p], o.pools[p]
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// PoolNames returns the names of every pool that has members or a section, sorted.
func (v View) PoolNames() []PoolName {
	names := map[PoolName]bool{}
	for p := range v.pools {
		names[p] = true
	}
	for p := range v.document.Pools {
		names[p] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// PoolMember returns one instance of a pool.
func (v View) PoolMember(p PoolName, id InstanceID) (PoolMember, bool) {
	members := v.pools[p]
	i, ok := slices.BinarySearchFunc(members, id, comparePoolMember)
	if !ok {
		return PoolMember{}, false
	}
	return members[i], true
}

// PoolOf returns the pool an instance belongs to.
func (v View) PoolOf(id InstanceID) (PoolName, bool) {
	for p, members := range v.pools {
		if _, ok := slices.BinarySearchFunc(members, id, comparePoolMember); ok {
			return p, true
		}
	}
	return "", false
}

// Startable reports whether new tasks may start on an instance of a pool under this view.
func (v View) Startable(p PoolName, id InstanceID) bool {
	m, ok := v.PoolMember(p, id)
	return ok && m.State == InstanceActive && v.Zone(m.Zone).State == ZoneIn
}

// WithRevision returns the view at another revision.
func (v View) WithRevision(r uint64) View {
	v.revision = r
	return v
}

// WithDocument returns the view with another decoded document.
func (v View) WithDocument(d Document) View {
	v.document = d
	return v
}

// WithSection returns the view with a section added or replaced.
func (v View) WithSection(s Section) View {
	v.sections = with(v.sections, s.Name, s)
	return v
}

// WithoutSection returns the view without a section.
func (v View) WithoutSection(name string) View {
	v.sections = without(v.sections, name)
	return v
}

// WithZone returns the view with an availability zone's status set.
func (v View) WithZone(z AvailabilityZone, s ZoneStatus) View {
	v.zones = with(v.zones, z, s)
	return v
}

// WithMember returns the view with an entry instance registered.
func (v View) WithMember(m Member) View {
	v = v.WithoutMember(m.ID)
	i, _ := slices.BinarySearchFunc(v.members, m.ID, compareMember)
	v.members = slices.Insert(slices.Clone(v.members), i, m)
	return v
}

// WithoutMember returns the view without an entry instance.
func (v View) WithoutMember(id EntryID) View {
	v.members = slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return m.ID == id })
	return v
}

// WithPool returns the view with the whole membership of a pool replaced.
func (v View) WithPool(p PoolName, members []PoolMember) View {
	v.pools = with(v.pools, p, sortedMembers(members))
	return v
}

// sortedMembers returns a copy of members sorted by identifier; of several with the same identifier it keeps the last.
func sortedMembers(members []PoolMember) []PoolMember {
	c := slices.Clone(members)
	if isSorted(c) {
		return c
	}
	slices.Reverse(c)
	slices.SortStableFunc(c, func(a, b PoolMember) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Clip(slices.CompactFunc(c, func(a, b PoolMember) bool { return a.ID == b.ID }))
}

func isSorted(members []PoolMember) bool {
	for i := 1; i < len(members); i++ {
		if members[i-1].ID >= members[i].ID {
			return false
		}
	}
	return true
}

func compareMember(m Member, id EntryID) int { return cmp.Compare(m.ID, id) }

func comparePoolMember(m PoolMember, id InstanceID) int { return cmp.Compare(m.ID, id) }

func with[K comparable, V any](m map[K]V, k K, val V) map[K]V {
	c := make(map[K]V, len(m)+1)
	maps.Copy(c, m)
	c[k] = val
	return c
}

func without[K comparable, V any](m map[K]V, k K) map[K]V {
	c := maps.Clone(m)
	delete(c, k)
	return c
}
