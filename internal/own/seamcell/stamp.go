package seamcell

// Stamp changes whenever the roles, the slots or the records that a node knows have changed. It is
// cheap to compare, so that a View need not be made after every event.
type ViewVersion struct {
	Role  Role
	Cell  string
	Epoch uint32
	// Term and Version are those of the table of slots and members.
	Term, Version uint64
	// Records counts the changes of records.
	Records uint64
}

// Stamp returns the present stamp. Requests in flight and rates change without it.
func (c *Cell) ViewVersion() ViewVersion {
	s := ViewVersion{Role: RoleNone, Records: c.directory.changes}
	if m := c.member; m != nil {
		s.Role, s.Cell, s.Epoch = c.role(), m.cell, m.epoch
		s.Term, s.Version = m.table.term, m.table.version
	}
	return s
}
