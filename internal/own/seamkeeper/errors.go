package seamkeeper

import (
	"fmt"
	"net/http"
	"strings"
)

// UnreachableNodeError reports that a node did not answer a query about its cell.
type UnreachableNodeError struct {
	Node, Address string
	Cause         error
}

// Error implements error.
func (e *UnreachableNodeError) Error() string {
	return fmt.Sprintf("%s (%s) does not answer: %v", e.Node, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableNodeError) Unwrap() error { return e.Cause }

// CellMismatchError reports that a node is not a member of the cell whose record names it.
type CellMismatchError struct {
	Node string
	// Cell is the current cell of the node, or empty if it has none.
	Cell string
}

// Error implements error.
func (e *CellMismatchError) Error() string {
	if e.Cell == "" {
		return e.Node + " is not a member of any cell"
	}
	return fmt.Sprintf("%s is now a member of cell %s", e.Node, e.Cell)
}

// NotCoordinatorError reports that a node is not the coordinator of the cell whose record names it as such.
type NotCoordinatorError struct {
	Node, Cell string
}

// Error implements error.
func (e *NotCoordinatorError) Error() string {
	return fmt.Sprintf("%s is not the coordinator of cell %s", e.Node, e.Cell)
}

// NodeNotFoundError reports that no cell has a node with the name.
type NodeNotFoundError struct {
	Node string
	// Cells is the number of cells, all of which answered.
	Cells int
}

// Error implements error.
func (e *NodeNotFoundError) Error() string {
	return fmt.Sprintf("none of the %d cells has a node named %s", e.Cells, e.Node)
}

// Status returns the HTTP status of the response to the operator.
func (e *NodeNotFoundError) Status() int { return http.StatusNotFound }

// Next returns advice for the operator.
func (e *NodeNotFoundError) Next() string {
	return "No request was sent. `cardamomseam status` lists the nodes, except those that have drained or have no cell yet."
}

// UnreachableCellsError reports that a node was not found while some cells did not answer.
type UnreachableCellsError struct {
	Node string
	// Cells names the cells that did not answer, with the reasons.
	Cells []string
}

// Error implements error.
func (e *UnreachableCellsError) Error() string {
	return fmt.Sprintf("no cell that answered has a node named %s; cells without an answer: %s", e.Node, strings.Join(e.Cells, "; "))
}

// Status returns the HTTP status of the response to the operator.
func (e *UnreachableCellsError) Status() int { return http.StatusServiceUnavailable }

// Next returns advice for the operator.
func (e *UnreachableCellsError) Next() string {
	return "No request was sent. Send the command to a node of that region with --address, or try again when the cells answer."
}

// UnconfirmedRequestError reports that a node did not confirm a drain request, which may have arrived.
type UnconfirmedRequestError struct {
	Node, Address string
	Cause         error
}

// Error implements error.
func (e *UnconfirmedRequestError) Error() string {
	return fmt.Sprintf("node %s at %s did not confirm the request: %v", e.Node, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedRequestError) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the response to the operator.
func (e *UnconfirmedRequestError) Status() int { return http.StatusServiceUnavailable }

// Next returns advice for the operator.
func (e *UnconfirmedRequestError) Next() string {
	return "Repeat the command: the request may have arrived, and repeating it has no further effect. If the node still runs but cannot be reached, stop its process with SIGTERM, which starts the same planned stop."
}

// IncarnationError reports that a node has restarted since its cell reported it.
type IncarnationError struct {
	Node string
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("%s has restarted in the meantime", e.Node)
}

// CellNotFoundError reports that no record names a coordinator of the cell.
type CellNotFoundError struct {
	Cell string
}

// Error implements error.
func (e *CellNotFoundError) Error() string { return "there is no active cell " + e.Cell }

// Status returns the HTTP status of the response to the operator.
func (e *CellNotFoundError) Status() int { return http.StatusNotFound }

// Next returns advice for the operator.
func (e *CellNotFoundError) Next() string {
	return "Nothing was attested. `cardamomseam status` lists the cells."
}

// IncompleteAttestationError reports that an attestation does not name both the coordinator and the backup.
type IncompleteAttestationError struct {
	// Coordinator and Backup are those in the record of Cell; Backup may be empty.
	Cell, Coordinator, Backup string
}

// Error implements error.
func (e *IncompleteAttestationError) Error() string {
	if e.Backup == "" {
		return fmt.Sprintf("cell %s has the coordinator %s and no backup; the coordinator was not named", e.Cell, e.Coordinator)
	}
	return fmt.Sprintf("cell %s has the coordinator %s and the backup %s, which were not both named", e.Cell, e.Coordinator, e.Backup)
}

// Status returns the HTTP status of the response to the operator.
func (e *IncompleteAttestationError) Status() int { return http.StatusConflict }

// Next returns advice for the operator.
func (e *IncompleteAttestationError) Next() string {
	return "Nothing was attested. Name both after verifying that both processes have ended. If one of them still runs, no action is needed: it replaces the other."
}

// StillRunningError reports that an instance that was attested as lost is still running.
type StillRunningError struct {
	Cell, Node string
}

// Error implements error.
func (e *StillRunningError) Error() string {
	return fmt.Sprintf("%s of cell %s is still running: it has just answered", e.Node, e.Cell)
}

// Status returns the HTTP status of the response to the operator.
func (e *StillRunningError) Status() int { return http.StatusConflict }

// Next returns advice for the operator.
func (e *StillRunningError) Next() string {
	return "Nothing was attested, because two servers could then own the same key. Leave the cell to this instance, or stop its process first."
}
