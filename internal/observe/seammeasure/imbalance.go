// Package seammeasure computes the three measures of docs/MEASURES.md: imbalance, churn
// and unavailable time.
package seammeasure

// Load is the load of one server, or of the servers of one firm, over one sample.
type Load struct {
	Server string
	// Firm is the member firm that the server's label names, or empty.
	Firm string
	// Capacity is the number of requests that the server runs at once; 0 counts as 1.
	Capacity float64
	// Rate is the load, in requests a second.
	Rate float64
}

// Imbalance returns the largest load for its capacity over the mean of all: 1 if the loads
// are equal. It is 0 if there is no load.
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

// ByFirm adds up the loads of each firm. Servers without a firm are left out.
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
