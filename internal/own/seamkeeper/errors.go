package seamkeeper

import (
	"fmt"
	"net/http"
	"strings"
)

// UnansweredError says that a node did not answer a question about its cell.
type UnreachableNodeError struct {
	Node, Address string
	Cause         error
}

// Error names the node and the cause.
func (e *UnreachableNodeError) Error() string {
	return fmt.Sprintf("%s (%s) does not answer: %v", e.Node, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableNodeError) Unwrap() error { return e.Cause }

// OtherCellError says that a node is not in the cell whose record names it.
type CellMismatchError struct {
	Node string
	// Cell is the cell of the node by now, empty if it has none.
	Cell string
}

// Error names the node and its cell.
func (e *CellMismatchError) Error() string {
	if e.Cell == "" {
		return e.Node + " is in no cell at present"
	}
	return fmt.Sprintf("%s is in cell %s by now", e.Node, e.Cell)
}

// ResignedError says that a node does not coordinate the cell whose record names it.
type NotCoordinatorError struct {
	Node, Cell string
}

// Error names the node and the cell.
func (e *NotCoordinatorError) Error() string {
	return fmt.Sprintf("%s is not the coordinator of %s at present", e.Node, e.Cell)
}

// UnknownNodeError says that no cell has a node of the name.
type NodeNotFoundError struct {
	Node string
	// Cells is the number of cells, which all answered.
	Cells int
}

// Error names the node.
func (e *NodeNotFoundError) Error() string {
	return fmt.Sprintf("none of the %d cells has a node %s", e.Cells, e.Node)
}

// Status is the HTTP status for the operator.
func (e *NodeNotFoundError) Status() int { return http.StatusNotFound }

// Next says what to do.
func (e *NodeNotFoundError) Next() string {
	return "Nothing was ordered. `cardamomseam status` lists the nodes; one that has drained, or has no cell yet, is not among them."
}

// UnaskedError says that no cell that answered has a node of the name, and that others did not answer.
type UnreachableCellsError struct {
	Node string
	// Cells are those that did not answer, with the reason.
	Cells []string
}

// Error names the node and the cells.
func (e *UnreachableCellsError) Error() string {
	return fmt.Sprintf("no cell that answered has a node %s; not asked: %s", e.Node, strings.Join(e.Cells, "; "))
}

// Status is the HTTP status for the operator.
func (e *UnreachableCellsError) Status() int { return http.StatusServiceUnavailable }

// Next says what to do.
func (e *UnreachableCellsError) Next() string {
	return "Nothing was ordered. Give the order to a node of that region by --address, or try again once the cells answer."
}

// UndeliveredError says that a node that was found did not confirm an order.
type UnconfirmedRequestError struct {
	Node, Address string
	Cause         error
}

// Error names the node and the cause.
func (e *UnconfirmedRequestError) Error() string {
	return fmt.Sprintf("node %s on %s did not confirm the order: %v", e.Node, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedRequestError) Unwrap() error { return e.Cause }

// Status is the HTTP status for the operator.
func (e *UnconfirmedRequestError) Status() int { return http.StatusServiceUnavailable }

// Next says what to do.
func (e *UnconfirmedRequestError) Next() string {
	return "Give the order again: it may have arrived, and a repeated one changes nothing. If the node still runs but cannot be reached, stop its process with SIGTERM: that is the same planned stop."
}

// AnotherRunError says that a node was started again since its cell told of it.
type IncarnationError struct {
	Node string
}

// Error names the node.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("%s was started again meanwhile", e.Node)
}

// UnknownCellError says that no record names a coordinator of the cell.
type CellNotFoundError struct {
	Cell string
}

// Error names the cell.
func (e *CellNotFoundError) Error() string { return "there is no live cell " + e.Cell }

// Status is the HTTP status for the operator.
func (e *CellNotFoundError) Status() int { return http.StatusNotFound }

// Next says what to do.
func (e *CellNotFoundError) Next() string {
	return "Nothing was attested. `cardamomseam status` lists the cells."
}

// PartiesError says that an attestation does not name both the coordinator and the backup.
type IncompleteAttestationError struct {
	// Cell is the cell, Coordinator and Backup those that its record names; Backup may be empty.
	Cell, Coordinator, Backup string
}

// Error names the cell and both.
func (e *IncompleteAttestationError) Error() string {
	if e.Backup == "" {
		return fmt.Sprintf("cell %s is led by %s without a backup, who was not named", e.Cell, e.Coordinator)
	}
	return fmt.Sprintf("cell %s is led by %s and its backup %s, who were not both named", e.Cell, e.Coordinator, e.Backup)
}

// Status is the HTTP status for the operator.
func (e *IncompleteAttestationError) Status() int { return http.StatusConflict }

// Next says what to do.
func (e *IncompleteAttestationError) Next() string {
	return "Nothing was attested. Name both, once you have made sure that both processes have ended. If one of them runs, nothing has to be done: it replaces the other."
}

// AliveError says that an instance that was attested as lost still runs.
type StillRunningError struct {
	Cell, Node string
}

// Error names the node.
func (e *StillRunningError) Error() string {
	return fmt.Sprintf("%s of cell %s still runs: it has just answered", e.Node, e.Cell)
}

// Status is the HTTP status for the operator.
func (e *StillRunningError) Status() int { return http.StatusConflict }

// Next says what to do.
func (e *StillRunningError) Next() string {
	return "Nothing was attested, since two servers might own one key. Leave the cell to this instance, or end its process first."
}
