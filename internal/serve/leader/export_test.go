package leader

// HasQuorum exposes hasQuorum to tests.
func (s *Service) HasQuorum() bool { return s.hasQuorum() }
