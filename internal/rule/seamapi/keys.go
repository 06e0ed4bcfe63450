package seamapi

// KeysReport is the answer to GET /v1/keys: the keys that the answering node's target
// served most, the most used first.
type KeysReport struct {
	// Node is the name of the answering node.
	Node string    `json:"node"`
	Keys []KeyRate `json:"keys"`
}

// KeyRate tells how much a key was used lately.
type KeyRate struct {
	// Key is the key; bytes that are no UTF-8 are replaced.
	Key     string `json:"key"`
	Service string `json:"service"`
	Slot    uint32 `json:"slot"`
	// Rate is in requests a second and never too low, Error the most by which it may be too high.
	Rate     float64 `json:"rate"`
	MaxError float64 `json:"error"`
}
