package seamsetting

import "time"

// Router are the settings of a node whose routes, members and owners stand in the store. The
// tag json names the field in the file and its default; the tag allow states the values that Check accepts.
type Router struct {
	// Name is the name of the instance, unique in the deployment. Required.
	Name string `json:"name" allow:"name"`
	// Region is the region of the instance. Required.
	Region string `json:"region" allow:"name"`
	// Domain is the failure domain of the instance, unique across regions. Required.
	Domain string `json:"domain" allow:"name"`
	// Service is the service of the target beside the node. Default: what the target announces.
	Service string `json:"service,optional" allow:"name"`
	// Listen is the ip:port for sessions with other nodes. Required.
	Listen string `json:"listen" allow:"address"`
	// Ingress is the ip:port on which callers are served. Required.
	Ingress string `json:"ingress" allow:"address"`
	// Announce is the ip:port on which the target beside the node announces itself. Required.
	Announce string `json:"announce" allow:"address"`
	// Health is the ip:port on which the node tells whether it is ready. Required.
	Health string `json:"health" allow:"address"`
	// Metrics is the ip:port on which metrics and the state of the node are served. Required.
	Metrics string `json:"metrics" allow:"address"`
	// Store are the ip:port addresses of the store. Required.
	Store []string `json:"store" allow:"address" count:"1..16"`
	// Retry bounds the repetition of requests.
	Retry Retry `json:"retry"`
	// Stop times planned stops.
	Stop Stop `json:"stop"`
	// Memory is the memory that the process may use, in megabytes; 0 means no bound. Default: 0.
	Memory int `json:"memory,default=0" allow:"0..1048576"`
	// Log shapes the log.
	Log Log `json:"log"`
	// Trace exports spans.
	Trace Trace `json:"trace"`
}

// Retry bounds the repetition of requests by all nodes together.
type Retry struct {
	// Ratio is the number of repetitions for each request of a service. Default: 0.2.
	Ratio float64 `json:"ratio,default=0.2" allow:"0..10"`
	// Slack is the number of repetitions of all nodes within the window that need no request. Default: 20.
	Slack float64 `json:"slack,default=20" allow:"0..1000000"`
	// Window is the time over which requests and repetitions are counted. Default: 10s.
	Window time.Duration `json:"window,default=10s" allow:"100ms..10m"`
}

// Stop times planned stops.
type Stop struct {
	// Notice is the time in which callers learn that the node stops. Default: 2200ms.
	Notice time.Duration `json:"notice,default=2200ms" allow:"0s..1m"`
	// Limit is the longest time for requests in flight to end. Default: 5400ms.
	Limit time.Duration `json:"limit,default=5400ms" allow:"100ms..1h"`
	// Linger is the time for which a target that leaves still takes requests. Default: 1500ms.
	Linger time.Duration `json:"linger,default=1500ms" allow:"0s..1m"`
}

// routerClashes returns the conditions between fields that r does not meet.
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
