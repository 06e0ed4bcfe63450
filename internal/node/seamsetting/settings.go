// Package seamsetting loads and validates the settings of a node from one YAML file per node.
// All errors of a file are reported together, before the node starts.
package seamsetting

import "time"

// Settings are the settings of one node. The json tag holds the field's name in the file and
// its default; the allow tag holds the values that Check accepts.
type Settings struct {
	// Name is the name of the instance, unique in the deployment. Required.
	Name string `json:"name" allow:"name"`
	// Region is the region of the instance. Required.
	Region string `json:"region" allow:"name"`
	// Domain is the failure domain of the instance, unique across regions. Required.
	Domain string `json:"domain" allow:"name"`
	// Listen is the ip:port to bind for sessions (TCP) and datagrams (UDP) between nodes. Required.
	Listen string `json:"listen" allow:"address"`
	// Address is the ip:port at which other nodes reach Listen. Default: Listen.
	Address string `json:"address,optional" allow:"address"`
	// Peers are the addresses of other nodes, asked when the store is down at start. Default: none.
	Peers []string `json:"peers,optional" allow:"address" count:"0..64"`
	// Ingress configures the listener for callers.
	Ingress Ingress `json:"ingress"`
	// Announce configures the listener for announcements of the node's target.
	Announce Announce `json:"announce"`
	// Admin configures the operators' API.
	Admin Admin `json:"admin"`
	// Store configures access to the platform's store.
	Store Store `json:"store"`
	// Cell configures the leases of key ownership and the size of cells.
	Cell Cell `json:"cell"`
	// Place configures the placement of slots.
	Place Place `json:"place"`
	// Session limits the sessions to other nodes.
	Session Session `json:"session"`
	// Limit limits the requests that a node admits for its target.
	Limit Limit `json:"limit"`
	// Target describes the capabilities of the node's target.
	Target Target `json:"target"`
	// Drain configures the timing of a graceful stop.
	Drain Drain `json:"drain"`
	// Log configures the log.
	Log Log `json:"log"`
	// Trace configures the export of spans.
	Trace Trace `json:"trace"`
}

// Ingress configures the listener for callers.
type Ingress struct {
	// Listen is the ip:port to bind for callers (HTTP). Required.
	Listen string `json:"listen" allow:"address"`
	// Header is the maximum size of a request header, in bytes. Default: 65536.
	Header int `json:"header,default=65536" allow:"1024..1048576"`
	// Body is the maximum size of a request body, in bytes. Default: 67108864.
	Body int64 `json:"body,default=67108864" allow:"0..1099511627776"`
	// Slow bounds each wait for a caller to send a part of a request or read a part of a
	// response. Default: 10s.
	Slow time.Duration `json:"slow,default=10s" allow:"100ms..5m"`
}

// Announce configures the listener for announcements of the node's target.
type Announce struct {
	// Listen is the ip:port to bind for announcements (HTTP). Default: 127.0.0.1:7303.
	Listen string `json:"listen,default=127.0.0.1:7303" allow:"address"`
	// Life is how long an announcement is valid unless repeated. Default: 1s.
	Life time.Duration `json:"life,default=1s" allow:"100ms..1m"`
}

// Admin configures the operators' API: status, rules, events and metrics.
type Admin struct {
	// Listen is the ip:port to bind for operators (HTTP). Default: 127.0.0.1:7304.
	Listen string `json:"listen,default=127.0.0.1:7304" allow:"address"`
	// Teams are the groups of operators with access. Default: none.
	Teams []Team `json:"teams,optional" count:"0..256"`
}

// Team is a group of operators that shares a token.
type Team struct {
	// Name is the name of the team. Required.
	Name string `json:"name" allow:"name"`
	// Hash is the SHA-256 of the team's token, 64 lower-case hexadecimal digits. Required.
	Hash string `json:"hash" allow:"sha256"`
	// Roles are the permissions of the team: read, write, operate. Required.
	Roles []string `json:"roles" allow:"read|write|operate" count:"1..3"`
	// Services are the services that the team has access to. Default: all.
	Services []string `json:"services,optional" allow:"name" count:"0..256"`
}

// Store configures access to the platform's store.
type Store struct {
	// Endpoints are the ip:port addresses of the store's servers. Required.
	Endpoints []string `json:"endpoints" allow:"address" count:"1..16"`
	// Timeout bounds one call. Default: 500ms.
	Timeout time.Duration `json:"timeout,default=500ms" allow:"10ms..30s"`
	// Rate is the node's rate limit, in calls per second. Default: 5.
	Rate float64 `json:"rate,default=5" allow:"0.01..1000"`
}

// Cell configures the leases between coordinator, backup and members, and the size of cells.
type Cell struct {
	// Heartbeat is the interval between heartbeats. Default: 300ms.
	Heartbeat time.Duration `json:"heartbeat,default=300ms" allow:"10ms..10s"`
	// Takeover is the time without a heartbeat from the coordinator after which the backup takes over. Default: 1.2s.
	Takeover time.Duration `json:"takeover,default=1.2s" allow:"50ms..1m"`
	// Margin is subtracted from Takeover on the coordinator's side, to allow for clock drift. Default: 100ms.
	Margin time.Duration `json:"margin,default=100ms" allow:"1ms..10s"`
	// Grant is the maximum duration of a grant. Default: 1s.
	Grant time.Duration `json:"grant,default=1s" allow:"20ms..1m"`
	// Return is how long a slot waits for an unresponsive server that has the only copy of its state. Default: 10s.
	Return time.Duration `json:"return,default=10s" allow:"0s..10m"`
	// Horizon is how long a cell continues without a write of its record. Default: 20m.
	Horizon time.Duration `json:"horizon,default=20m" allow:"1s..24h"`
	// Confirm is how long members may take to confirm new rules before they lose their grants. Default: 3s.
	Confirm time.Duration `json:"confirm,default=3s" allow:"50ms..1m"`
	// Max is the number of members above which a cell splits. Default: 12.
	Max int `json:"max,default=12" allow:"2..64"`
	// Min is the number of members below which a cell merges into another. Default: 4.
	Min int `json:"min,default=4" allow:"1..32"`
}

// Place configures the placement of slots. The weights are relative to each other.
type Place struct {
	// Imbalance is the weight of load above the mean. Default: 1.
	Imbalance float64 `json:"imbalance,default=1" allow:"0..100"`
	// Churn is the weight of ownership changes. Default: 1.
	Churn float64 `json:"churn,default=1" allow:"0..100"`
	// Unavailable is the weight of the time in which keys are not served. Default: 1.
	Unavailable float64 `json:"unavailable,default=1" allow:"0..100"`
	// Interval is the interval between placement runs. Default: 5s.
	Interval time.Duration `json:"interval,default=5s" allow:"50ms..10m"`
	// Moves is the maximum number of planned moves per service and interval. Default: 16.
	Moves int `json:"moves,default=16" allow:"0..1000"`
	// Dwell is the minimum time between two moves of a slot. Default: 20s.
	Dwell time.Duration `json:"dwell,default=20s" allow:"0s..24h"`
}

// Session limits the sessions to other nodes.
type Session struct {
	// Max is the maximum number of open sessions. Default: 128.
	Max int `json:"max,default=128" allow:"2..4096"`
	// Idle is the time after which an unused session is closed. Default: 1m.
	Idle time.Duration `json:"idle,default=1m" allow:"1s..1h"`
}

// Limit limits the requests that a node admits for its target. The queue length is set by the rules of
// the service, and the number of concurrent requests by the target's announcement.
type Limit struct {
	// Patience bounds the wait for a slot whose grant is pending. Default: 2s.
	Patience time.Duration `json:"patience,default=2s" allow:"10ms..1m"`
	// Warm is the duration of the slow start, in which a cold target reaches its full concurrency. Default: 10s.
	Warm time.Duration `json:"warm,default=10s" allow:"1ms..10m"`
	// Records is the maximum number of request ids kept for deduplication. Default: 131072.
	Records int `json:"records,default=131072" allow:"1024..1048576"`
	// Dial bounds the opening of a connection to the target. Default: 500ms.
	Dial time.Duration `json:"dial,default=500ms" allow:"10ms..10s"`
}

// Target describes the capabilities of the node's target.
type Target struct {
	// Fence is true if the target rejects requests whose fencing token is not current. Default: false.
	Fence bool `json:"fence,default=false"`
}

// Drain configures the timing of a graceful stop.
type Drain struct {
	// Grace is how long the node keeps serving callers while it asks them to use other nodes. Default: 2s.
	Grace time.Duration `json:"grace,default=2s" allow:"0s..1m"`
	// Limit is the maximum time for requests in flight to complete. Default: 1m.
	Limit time.Duration `json:"limit,default=1m" allow:"100ms..1h"`
}

// Log configures the log, which is written to standard error.
type Log struct {
	// Level is the lowest level that is written. Default: info.
	Level string `json:"level,default=info" allow:"debug|info|warn|error"`
	// Format is the format of log lines. Default: json.
	Format string `json:"format,default=json" allow:"json|text"`
}

// Trace configures the export of spans.
type Trace struct {
	// Endpoint receives the spans: ip:port, or a path if Batcher is file. Default: none, spans stay in the node.
	Endpoint string `json:"endpoint,optional" allow:"endpoint"`
	// Batcher is the protocol of the export. Default: otlpgrpc.
	Batcher string `json:"batcher,default=otlpgrpc" allow:"otlpgrpc|otlphttp|file"`
	// Sampler is the fraction of requests that are traced, from 0 to 1. Default: 0.01.
	Sampler float64 `json:"sampler,default=0.01" allow:"0..1"`
}
