package health

const (
	// unreachableAfter is the number of failed probes in a row that exclude a worker; a single lost probe does
	// not.
	unreachableAfter = 2
	// ProvenAfter is the number of answered probes in a row that a worker of a returning availability zone needs.
	ProvenAfter = 3
)

// Contact is what probes and reservations say of one worker. A new worker gets no work until a probe succeeds.
type Contact struct {
	answered int
	failed   int
	probed   bool
	blocked  bool
}

// Probed records a probe.
func (c *Contact) Probed(ok bool) {
	if !ok {
		c.failed++
		c.answered = 0
		return
	}
	c.answered++
	c.failed, c.probed, c.blocked = 0, true, false
}

// Block excludes the worker until the next successful probe: it refused a reservation or an entry can't reach it.
func (c *Contact) Block() { c.blocked = true }

// Responds reports whether the worker answers probes.
func (c *Contact) Responds() bool { return c.probed && c.failed < unreachableAfter }

// Usable reports whether the worker may get work.
func (c *Contact) Usable() bool { return c.Responds() && !c.blocked }

// Proven reports whether enough probes in a row were answered.
func (c *Contact) Proven() bool { return c.answered >= ProvenAfter }
