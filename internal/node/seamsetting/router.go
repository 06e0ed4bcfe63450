package seamsetting

import "time"

// Router are the settings of a node whose routes, members and key owners are kept in the store. The json tag
// holds the field's name in the file and its default; the allow tag holds the values that CheckRouter accepts.
type Router struct {
	// Name is the name of the instance, unique in the deployment. Required.
	Name string `json:"name" allow:"name"`
	// Region is the region of the instance. Required.
	Region string `json:"region" allow:"name"`
	// Domain is the failure domain of the instance, unique across regions. Required.
	Domain string `json:"domain" allow:"name"`
	// Service is the service of the node's target. Announcements of another service are rejected. Default: what the target
	// announces.
	Service string `json:"service,optional" allow:"name"`
	// Target is the ip:port at which the node's target accepts requests. Announcements of another address are rejected.
	// Default: what the target announces.
	Target string `json:"target,optional" allow:"address"`
	// Listen is the ip:port for sessions with other nodes. Required.
	Listen string `json:"listen" allow:"address"`
	// Ingress is the ip:port on which callers are served. Required.
	Ingress string `json:"ingress" allow:"address"`
	// Announce is the ip:port on which the node's target announces itself. Required.
	Announce string `json:"announce" allow:"address"`
	// Health is the ip:port on which the node reports whether it is ready. Required.
	Health string `json:"health" allow:"address"`
	// Metrics is the ip:port on which metrics and the state of the node are served. Required.
	Metrics string `json:"metrics" allow:"address"`
	// Store are the ip:port addresses of the store. Required.
	Store []string `json:"store" allow:"address" count:"1..16"`
	// Retry limits the retries of requests.
	Retry Retry `json:"retry"`
	// Stop configures the timing of graceful stops.
	Stop Stop `json:"stop"`
	// Balance configures the choice of targets for requests without a key.
	Balance Balance `json:"balance"`
	// Memory is the memory limit of the process, in MiB; 0 means no limit. Default: 0.
	Memory int `json:"memory,default=0" allow:"0..1048576"`
	// Link is the rate of the machine's network link, in Mbit/s; 0 means unknown. Default: 0.
	Link float64 `json:"link,default=0" allow:"0..1000000"`
	// Log configures the log.
	Log Log `json:"log"`
	// Trace configures the export of spans.
	Trace Trace `json:"trace"`
}

// Retry limits the retries of requests by all nodes together.
type Retry struct {
	// Ratio is the number of retries allowed per request of a service. Default: 0.2.
	Ratio float64 `json:"ratio,default=0.2" allow:"0..10"`
	// Slack is the number of retries within the window, of all nodes, that are allowed beyond Ratio. Default: 20.
	Slack float64 `json:"slack,default=20" allow:"0..1000000"`
	// Window is the time over which requests and retries are counted. Default: 10s.
	Window time.Duration `json:"window,default=10s" allow:"100ms..10m"`
}

// Balance configures the choice of targets for requests without a key.
type Balance struct {
	// Policy is the way of choosing: by utility, or evenly by forecasts of the load. Default: utility.
	Policy string `json:"policy,default=utility" allow:"utility|even"`
}

// Stop configures the timing of graceful stops.
type Stop struct {
	// Notice is how long callers are told to use other nodes before the node stops. Default: 2200ms.
	Notice time.Duration `json:"notice,default=2200ms" allow:"0s..1m"`
	// Limit is the maximum time for requests in flight to complete. Default: 5400ms.
	Limit time.Duration `json:"limit,default=5400ms" allow:"100ms..1h"`
	// Linger is how long a target that is leaving still serves keys not yet handed over. Default: 1500ms.
	Linger time.Duration `json:"linger,default=1500ms" allow:"0s..1m"`
}

// routerViolations returns the constraints that r violates.
func routerViolations(r Router) []constraint {
	found := distinctAddresses([]listenAddress{
		{"listen", r.Listen},
		{"ingress", r.Ingress},
		{"announce", r.Announce},
		{"health", r.Health},
		{"metrics", r.Metrics},
	})
	found = append(found, atMost("stop.notice", r.Stop.Notice, "stop.limit", "stop.limit", r.Stop.Limit))
	return violations(found)
}
