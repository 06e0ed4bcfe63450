package seamcaller

import "time"

// Downtime is the time for which a key was not served after an event.
type Downtime struct {
	Service string
	Key     string
	// Duration is the time from the event to the first successful response to a request that was
	// sent after it.
	Duration time.Duration
	// Served says that there was such a response. Otherwise Duration lasts until the end of the
	// observed time range.
	Served bool
}

// Downtimes returns, for each key that was requested between from and to, the time from from until
// the key was first served. The resolution is the interval between requests for a key.
func Downtimes(records []Record, from, to time.Time) []Downtime {
	type keyID struct{ service, key string }
	recovered := map[keyID]time.Time{}
	requested := map[keyID]bool{}
	for _, x := range records {
		if x.Key == "" || x.Start.Before(from) || x.Start.After(to) {
			continue
		}
		k := keyID{x.Service, x.Key}
		requested[k] = true
		if x.Outcome != Done || x.Status != 200 {
			continue
		}
		if end, ok := recovered[k]; !ok || x.End.Before(end) {
			recovered[k] = x.End
		}
	}
	downtimes := make([]Downtime, 0, len(requested))
	for k := range requested {
		end, served := recovered[k]
		if !served {
			end = to
		}
		downtimes = append(downtimes, Downtime{Service: k.service, Key: k.key, Duration: end.Sub(from), Served: served})
	}
	return downtimes
}

// LongestDowntime returns the longest downtime. A key that was never served counts until the
// end of the time range.
func LongestDowntime(downtimes []Downtime) Downtime {
	var longest Downtime
	for _, d := range downtimes {
		if d.Duration > longest.Duration {
			longest = d
		}
	}
	return longest
}

// Interrupted returns the requests sent between from and to whose outcome is Unknown, Unreached or
// InvalidResponse.
func Interrupted(records []Record, from, to time.Time) []Record {
	var list []Record
	for _, x := range records {
		if x.Start.Before(from) || x.Start.After(to) {
			continue
		}
		if x.Outcome == Unknown || x.Outcome == Unreached || x.Outcome == InvalidResponse {
			list = append(list, x)
		}
	}
	return list
}
