package seamrule

import "maps"

// Names of the labels that every instance has. Their values are the instance's properties; neither operators nor
// targets can set them.
const (
	LabelInstance = "instance"
	LabelRegion   = "region"
	LabelDomain   = "domain"
)

// Instance holds the properties of an instance to which selectors are applied.
type Instance struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Labels are the labels that the target announced.
	Labels map[string]string `json:"labels,omitempty"`
}

// LabelsOf returns the labels of the instance to which selectors are applied. The operator-defined labels override
// the target's, and the instance's name, region and failure domain override both.
func (d Document) LabelsOf(i Instance) map[string]string {
	labels := maps.Clone(i.Labels)
	if labels == nil {
		labels = map[string]string{}
	}
	maps.Copy(labels, d.Labels[i.Name])
	labels[LabelInstance] = i.Name
	labels[LabelRegion] = i.Region
	labels[LabelDomain] = i.Domain
	return labels
}

// WithLabels returns a copy of the document with the operator-defined labels of the instance replaced.
func (d Document) WithLabels(instance string, labels map[string]string) Document {
	all := maps.Clone(d.Labels)
	if all == nil {
		all = map[string]map[string]string{}
	}
	all[instance] = labels
	if len(labels) == 0 {
		delete(all, instance)
	}
	d.Labels = all
	return d
}
