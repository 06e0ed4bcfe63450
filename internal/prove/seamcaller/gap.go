package seamcaller

import "time"

// Gap is the time for which one key was not served after an event.
type Downtime struct {
	Service string
	Key     string
	// Length is the time from the event to the first answer to a request sent after it.
	Duration time.Duration
	// Served says that there was such an answer; otherwise Length ends with the records.
	Served bool
}

// Gaps returns, for each key that was asked for between two times, how long after the first
// of them it was served again. The resolution is the time between two requests for a key.
func Downtimes(records []Record, from, to time.Time) []Downtime {
	type name struct{ service, key string }
	first := map[name]time.Time{}
	asked := map[name]bool{}
	for _, x := range records {
		if x.Key == "" || x.Start.Before(from) || x.Start.After(to) {
			continue
		}
		k := name{x.Service, x.Key}
		asked[k] = true
		if x.Outcome != Done || x.Status != 200 {
			continue
		}
		if end, ok := first[k]; !ok || x.End.Before(end) {
			first[k] = x.End
		}
	}
	gaps := make([]Downtime, 0, len(asked))
	for k := range asked {
		end, served := first[k]
		if !served {
			end = to
		}
		gaps = append(gaps, Downtime{Service: k.service, Key: k.key, Duration: end.Sub(from), Served: served})
	}
	return gaps
}

// Longest returns the longest gap; a key that was never served counts until the end.
func LongestDowntime(gaps []Downtime) Downtime {
	var longest Downtime
	for _, g := range gaps {
		if g.Duration > longest.Duration {
			longest = g
		}
	}
	return longest
}

// Cut returns the requests sent between two times whose answers never came whole.
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
