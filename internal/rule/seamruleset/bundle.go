package seamruleset

import (
	"cmp"
	"slices"

	"cardamomseam/internal/rule/seamrule"
)

// Bundle is a complete set of versions.
type Bundle struct {
	// Revision is the highest revision of the versions.
	Revision int64
	// Versions has one element per service, in order of service.
	Versions []seamrule.Version
}

// NewBundle returns a bundle of the versions.
func NewBundle(versions []seamrule.Version) Bundle {
	b := Bundle{Versions: slices.Clone(versions)}
	slices.SortFunc(b.Versions, func(a, c seamrule.Version) int { return cmp.Compare(a.Service, c.Service) })
	for _, v := range b.Versions {
		b.Revision = max(b.Revision, v.Revision)
	}
	return b
}

// Live returns the documents that are not deleted, in order of service.
func (b Bundle) Documents() []seamrule.Document {
	var documents []seamrule.Document
	for _, v := range b.Versions {
		if !v.Deleted {
			documents = append(documents, v.Document)
		}
	}
	return documents
}

// Find returns the version of the service, and whether there is one.
func (b Bundle) Find(service string) (seamrule.Version, bool) {
	i, found := slices.BinarySearchFunc(b.Versions, service, func(v seamrule.Version, s string) int {
		return cmp.Compare(v.Service, s)
	})
	if !found {
		return seamrule.Version{}, false
	}
	return b.Versions[i], true
}

// with returns the bundle with the versions replaced whose revision is lower than the given ones.
func (b Bundle) with(versions []seamrule.Version) Bundle {
	merged := slices.Clone(b.Versions)
	for _, v := range versions {
		i := slices.IndexFunc(merged, func(o seamrule.Version) bool { return o.Service == v.Service })
		if i < 0 {
			merged = append(merged, v)
			continue
		}
		if merged[i].Revision < v.Revision {
			merged[i] = v
		}
	}
	return NewBundle(merged)
}
