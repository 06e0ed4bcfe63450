// Package seampeer defines the identity of a node.
package seampeer

import "fmt"

// Peer identifies one incarnation of a node and gives its address and location.
type Peer struct {
	// Name is the name of the node's instance, which is unique in the deployment.
	Name string `json:"name"`
	// Incarnation distinguishes the processes that run under one name over time. A later one has a higher number.
	Incarnation uint64 `json:"incarnation"`
	// Address is the ip:port for sessions (TCP) and datagrams (UDP) between nodes.
	Address string `json:"address"`
	// Region is the region of the instance.
	Region string `json:"region"`
	// Domain is the failure domain of the instance, which is unique across regions.
	Domain string `json:"domain"`
}

// Zero reports whether p has no name and thus identifies no node.
func (p Peer) Zero() bool {
	return p.Name == ""
}

// Same reports whether p and o identify the same incarnation of the same node. Their addresses are not compared.
func (p Peer) Same(o Peer) bool {
	return p.Name == o.Name && p.Incarnation == o.Incarnation
}

// String returns the name and the incarnation as name#incarnation.
func (p Peer) String() string {
	return fmt.Sprintf("%s#%d", p.Name, p.Incarnation)
}
