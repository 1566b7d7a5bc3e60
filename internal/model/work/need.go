package work

// Need is an amount of resources that tasks need or workers have.
type Need struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Memory is in megabytes.
	Memory int64 `json:"mem,omitempty"`
	// GPU is the number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

func (n Need) Plus(o Need) Need { return Need{n.CPU + o.CPU, n.Memory + o.Memory, n.GPU + o.GPU} }

func (n Need) Minus(o Need) Need { return Need{n.CPU - o.CPU, n.Memory - o.Memory, n.GPU - o.GPU} }

// Max returns the larger amount of each resource.
func (n Need) Max(o Need) Need {
	return Need{max(n.CPU, o.CPU), max(n.Memory, o.Memory), max(n.GPU, o.GPU)}
}

// Min returns the smaller amount of each resource.
func (n Need) Min(o Need) Need {
	return Need{min(n.CPU, o.CPU), min(n.Memory, o.Memory), min(n.GPU, o.GPU)}
}

// Times returns the total need of a number of equal tasks.
func (n Need) Times(count int) Need {
	c := int64(count)
	return Need{n.CPU * c, n.Memory * c, n.GPU * c}
}

// FitsIn reports whether the need fits into a capacity.
func (n Need) FitsIn(capacity Need) bool {
	return n.CPU <= capacity.CPU && n.Memory <= capacity.Memory && n.GPU <= capacity.GPU
}

// WithinLimit reports whether the need is within a limit; zero fields of the limit mean no limit.
func (n Need) WithinLimit(limit Need) bool {
	return (limit.CPU == 0 || n.CPU <= limit.CPU) &&
		(limit.Memory == 0 || n.Memory <= limit.Memory) &&
		(limit.GPU == 0 || n.GPU <= limit.GPU)
}

// Negative reports whether any amount is below 0.
func (n Need) Negative() bool { return n.CPU < 0 || n.Memory < 0 || n.GPU < 0 }
