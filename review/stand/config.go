package stand

import "encoding/json"

// Configuration returns the operator's configuration with a keyed service calendar and a service booker without keys.
func Configuration(version string) []byte {
	value, _ := json.Marshal(fields{
		"version": version,
		"routes": []fields{
			{
				"name": "r-lookup", "host": "lookup.example", "prefix": "/lookup/", "route_type": "safe", "timeout_ms": 800,
				"target_latency_ms": 300, "priority": 1, "service": "calendar", "max_attempts": 2,
			},
			{
				"name": "r-booking", "host": "booking.example", "prefix": "/booking/", "route_type": "unsafe", "timeout_ms": 1000,
				"target_latency_ms": 400, "priority": 1, "service": "booker", "max_attempts": 2,
			},
		},
		"services": []fields{
			{
				"name": "calendar", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
				"sharded": true, "warm_s": 2.0, "grants": "rpc",
			},
			{"name": "booker", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": fields{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return value
}
