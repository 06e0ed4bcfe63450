package seamruleset

import (
	"cmp"
	"slices"

	"cardamomseam/internal/rule/seamrule"
)

// Bundle holds the latest version of each service's rules as of one revision.
type Bundle struct {
	// Revision is the highest revision among Versions.
	Revision int64
	// Versions has one element per service, sorted by service.
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

// Documents returns the documents of the services that are not deleted, sorted by service.
func (b Bundle) Documents() []seamrule.Document {
	var documents []seamrule.Document
	for _, v := range b.Versions {
		if !v.Deleted {
			documents = append(documents, v.Document)
		}
	}
	return documents
}

// Find returns the version of the service's rules, and whether there is one.
func (b Bundle) Find(service string) (seamrule.Version, bool) {
	i, found := slices.BinarySearchFunc(b.Versions, service, func(v seamrule.Version, s string) int {
		return cmp.Compare(v.Service, s)
	})
	if !found {
		return seamrule.Version{}, false
	}
	return b.Versions[i], true
}

// merge returns a bundle with the versions of b and the given ones. If both have a version of a service,
// the one with the higher revision is kept.
func (b Bundle) merge(versions []seamrule.Version) Bundle {
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
