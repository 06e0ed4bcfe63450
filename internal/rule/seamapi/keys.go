package seamapi

// KeysReport is the response to GET /v1/keys: the keys with the highest request rates at the
// target of the node that received the request, highest first.
type KeysReport struct {
	// Node is the name of the node that received the request.
	Node string    `json:"node"`
	Keys []KeyRate `json:"keys"`
}

// KeyRate is the recent request rate of a key.
type KeyRate struct {
	// Key is the key. Bytes that are not valid UTF-8 are replaced.
	Key     string `json:"key"`
	Service string `json:"service"`
	Slot    uint32 `json:"slot"`
	// Rate is an upper bound of the rate in requests per second. It exceeds the true rate by at
	// most MaxError.
	Rate     float64 `json:"rate"`
	MaxError float64 `json:"error"`
}
