package seamcell

// ViewVersion changes whenever the roles, slots or records known to a node change. It is cheap to
// compare, so that callers need not build a View after every event.
type ViewVersion struct {
	Role  Role
	Cell  string
	Epoch uint32
	// Term and Version identify the version of the table of slots and members.
	Term, Version uint64
	// Records counts the changes of records.
	Records uint64
}

// ViewVersion returns the current version. Requests in flight and rates change without changing it.
func (c *Cell) ViewVersion() ViewVersion {
	s := ViewVersion{Role: RoleNone, Records: c.directory.changes}
	if m := c.member; m != nil {
		s.Role, s.Cell, s.Epoch = c.role(), m.cell, m.epoch
		s.Term, s.Version = m.table.term, m.table.version
	}
	return s
}
