// Package seammeasure computes the three measures of docs/MEASURES.md: load imbalance, churn
// of ownership and unavailable time.
package seammeasure

// Load is the load of one server, or of all servers of one firm, during one sampling interval.
type Load struct {
	Server string
	// Firm is the value of the server's label for its member firm, or empty.
	Firm string
	// Capacity is the number of concurrent requests of the server; 0 counts as 1.
	Capacity float64
	// Rate is the load in requests per second.
	Rate float64
}

// Imbalance returns the ratio of the largest load per capacity to the mean load per capacity:
// 1 if all are equal, 0 if there is no load.
func Imbalance(loads []Load) float64 {
	var total, capacity, maxLoad float64
	for _, l := range loads {
		c := l.effectiveCapacity()
		total += l.Rate
		capacity += c
		maxLoad = max(maxLoad, l.Rate/c)
	}
	if total <= 0 {
		return 0
	}
	return maxLoad / (total / capacity)
}

// ByFirm returns the total load and capacity of each firm. Servers without a firm are omitted.
func ByFirm(loads []Load) []Load {
	position := map[string]int{}
	var firms []Load
	for _, l := range loads {
		if l.Firm == "" {
			continue
		}
		i, ok := position[l.Firm]
		if !ok {
			i = len(firms)
			position[l.Firm] = i
			firms = append(firms, Load{Firm: l.Firm})
		}
		firms[i].Capacity += l.effectiveCapacity()
		firms[i].Rate += l.Rate
	}
	return firms
}

func (l Load) effectiveCapacity() float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return l.Capacity
}
