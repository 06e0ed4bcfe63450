package seamrule

import "maps"

// Names of labels that every instance has; operators and targets cannot set them.
const (
	LabelInstance = "instance"
	LabelRegion   = "region"
	LabelDomain   = "domain"
)

// Instance is what selectors see of an instance with a target.
type Instance struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Labels are those that the target announced.
	Labels map[string]string `json:"labels,omitempty"`
}

// LabelsOf returns the labels by which selectors choose the instance: its target's,
// over them the operators', over them the instance's name, region and failure domain.
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

// WithLabels returns the document with the operators' labels of the instance replaced.
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
