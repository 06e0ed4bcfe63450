// Package seamsetting holds the settings of a node: one YAML file for each node,
// checked as a whole before anything starts.
package seamsetting

import "time"

// Settings are the settings of one node. The tag json names the field in the file and
// its default; the tag allow states the values that Check accepts.
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
	// Ingress takes the requests of callers.
	Ingress Ingress `json:"ingress"`
	// Announce takes the announcements of the target beside the node.
	Announce Announce `json:"announce"`
	// Admin serves operators.
	Admin Admin `json:"admin"`
	// Store is the platform's store.
	Store Store `json:"store"`
	// Cell times the leases of ownership.
	Cell Cell `json:"cell"`
	// Place weighs the placement of slots.
	Place Place `json:"place"`
	// Session bounds the sessions to other nodes.
	Session Session `json:"session"`
	// Limit bounds the work that a node takes on for its target.
	Limit Limit `json:"limit"`
	// Target says what the target beside the node does with orders.
	Target Target `json:"target"`
	// Drain times a planned stop.
	Drain Drain `json:"drain"`
	// Log shapes the log.
	Log Log `json:"log"`
	// Trace exports spans.
	Trace Trace `json:"trace"`
}

// Ingress takes the requests of callers.
type Ingress struct {
	// Listen is the ip:port to bind for callers (HTTP). Required.
	Listen string `json:"listen" allow:"address"`
	// Header is the largest request header, in bytes. Default: 65536.
	Header int `json:"header,default=65536" allow:"1024..1048576"`
	// Body is the largest request body, in bytes. Default: 67108864.
	Body int64 `json:"body,default=67108864" allow:"0..1099511627776"`
	// Slow bounds each wait for a caller to send a part of a request or take a part of an
	// answer. Default: 10s.
	Slow time.Duration `json:"slow,default=10s" allow:"100ms..5m"`
}

// Announce takes the announcements of the target beside the node.
type Announce struct {
	// Listen is the ip:port to bind for announcements (HTTP). Default: 127.0.0.1:7303.
	Listen string `json:"listen,default=127.0.0.1:7303" allow:"address"`
	// Life is the time for which an announcement holds unless repeated. Default: 1s.
	Life time.Duration `json:"life,default=1s" allow:"100ms..1m"`
}

// Admin serves operators: status, rules, events, metrics.
type Admin struct {
	// Listen is the ip:port to bind for operators (HTTP). Default: 127.0.0.1:7304.
	Listen string `json:"listen,default=127.0.0.1:7304" allow:"address"`
	// Teams may read or change what their roles allow. Default: none.
	Teams []Team `json:"teams,optional" count:"0..256"`
}

// Team is a group of operators that shares a token.
type Team struct {
	// Name is the name of the team. Required.
	Name string `json:"name" allow:"name"`
	// Hash is the SHA-256 of the team's token, 64 hexadecimal digits. Required.
	Hash string `json:"hash" allow:"sha256"`
	// Roles say what the team may do: read, write, operate. Required.
	Roles []string `json:"roles" allow:"read|write|operate" count:"1..3"`
	// Services are those that the team may touch. Default: all.
	Services []string `json:"services,optional" allow:"name" count:"0..256"`
}

// Store is the platform's store.
type Store struct {
	// Endpoints are the ip:port of the store's servers. Required.
	Endpoints []string `json:"endpoints" allow:"address" count:"1..16"`
	// Timeout bounds one call. Default: 500ms.
	Timeout time.Duration `json:"timeout,default=500ms" allow:"10ms..30s"`
	// Rate is the budget of the node, in calls a second. Default: 5.
	Rate float64 `json:"rate,default=5" allow:"0.01..1000"`
}

// Cell times the leases between coordinator, backup and members.
type Cell struct {
	// Heartbeat is the time between two heartbeats. Default: 300ms.
	Heartbeat time.Duration `json:"heartbeat,default=300ms" allow:"10ms..10s"`
	// Takeover is the silence after which the backup takes over. Default: 1.2s.
	Takeover time.Duration `json:"takeover,default=1.2s" allow:"50ms..1m"`
	// Margin is the part of Takeover that the coordinator leaves unused, for clock drift. Default: 100ms.
	Margin time.Duration `json:"margin,default=100ms" allow:"1ms..10s"`
	// Grant is the longest life of a grant. Default: 1s.
	Grant time.Duration `json:"grant,default=1s" allow:"20ms..1m"`
	// Return is the time for which a slot waits for a silent server that alone has its state. Default: 10s.
	Return time.Duration `json:"return,default=10s" allow:"0s..10m"`
	// Horizon is the time without a write of the cell's record after which the cell stops. Default: 20m.
	Horizon time.Duration `json:"horizon,default=20m" allow:"1s..24h"`
	// Confirm is the time in which members confirm new rules before they lose their grants. Default: 3s.
	Confirm time.Duration `json:"confirm,default=3s" allow:"50ms..1m"`
	// Max is the number of members above which a cell splits. Default: 12.
	Max int `json:"max,default=12" allow:"2..64"`
	// Min is the number of members below which a cell merges into another. Default: 4.
	Min int `json:"min,default=4" allow:"1..32"`
}

// Place weighs the placement of slots. The weights are relative to each other.
type Place struct {
	// Imbalance weighs load above the mean. Default: 1.
	Imbalance float64 `json:"imbalance,default=1" allow:"0..100"`
	// Churn weighs changes of owner. Default: 1.
	Churn float64 `json:"churn,default=1" allow:"0..100"`
	// Unavailable weighs the time in which keys are not served. Default: 1.
	Unavailable float64 `json:"unavailable,default=1" allow:"0..100"`
	// Interval is the time between two plans. Default: 5s.
	Interval time.Duration `json:"interval,default=5s" allow:"50ms..10m"`
	// Moves is the largest number of planned moves in one interval of one service. Default: 16.
	Moves int `json:"moves,default=16" allow:"0..1000"`
	// Dwell is the time for which a moved slot stays where it is. Default: 20s.
	Dwell time.Duration `json:"dwell,default=20s" allow:"0s..24h"`
}

// Session bounds the sessions to other nodes.
type Session struct {
	// Max is the number of open sessions. Default: 128.
	Max int `json:"max,default=128" allow:"2..4096"`
	// Idle is the time after which an unused session is closed. Default: 1m.
	Idle time.Duration `json:"idle,default=1m" allow:"1s..1h"`
}

// Limit bounds the work that a node takes on for its target. The queue is set by the rules of
// the service, the number of requests at once by the target's announcement.
type Limit struct {
	// Patience bounds the wait for a slot that is arriving. Default: 2s.
	Patience time.Duration `json:"patience,default=2s" allow:"10ms..1m"`
	// Warm is the time in which a cold target reaches all its slots. Default: 10s.
	Warm time.Duration `json:"warm,default=10s" allow:"1ms..10m"`
	// Records is the number of request ids that are remembered. Default: 131072.
	Records int `json:"records,default=131072" allow:"1024..1048576"`
	// Dial bounds the opening of a connection to the target. Default: 500ms.
	Dial time.Duration `json:"dial,default=500ms" allow:"10ms..10s"`
}

// Target says what the target beside the node does with orders.
type Target struct {
	// Fence says that the target refuses requests whose fencing token is not current. Default: false.
	Fence bool `json:"fence,default=false"`
}

// Drain times a planned stop.
type Drain struct {
	// Grace is the time in which others learn that the node leaves. Default: 2s.
	Grace time.Duration `json:"grace,default=2s" allow:"0s..1m"`
	// Limit is the longest time for requests in flight to end. Default: 1m.
	Limit time.Duration `json:"limit,default=1m" allow:"100ms..1h"`
}

// Log shapes the log, which is written to standard error.
type Log struct {
	// Level is the lowest level that is written. Default: info.
	Level string `json:"level,default=info" allow:"debug|info|warn|error"`
	// Format is the form of a line. Default: json.
	Format string `json:"format,default=json" allow:"json|text"`
}

// Trace exports spans.
type Trace struct {
	// Endpoint is where spans go: ip:port, or a path if Batcher is file. Default: none, spans stay in the node.
	Endpoint string `json:"endpoint,optional" allow:"endpoint"`
	// Batcher is the protocol of the export. Default: otlpgrpc.
	Batcher string `json:"batcher,default=otlpgrpc" allow:"otlpgrpc|otlphttp|file"`
	// Sampler is the part of requests that is traced, from 0 to 1. Default: 0.01.
	Sampler float64 `json:"sampler,default=0.01" allow:"0..1"`
}
