package seammirror_test

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
)

// copyHandler builds a copy from the changes that a mirror reports.
type copyHandler struct {
	copy map[string]string
	// unknown counts the deletions at an unknown time.
	unknown int
}

func (r *copyHandler) Put(_ time.Time, e seamstore.Entry) { r.copy[e.Key] = string(e.Value) }

func (r *copyHandler) Delete(_ time.Time, key string, timeUnknown bool) {
	delete(r.copy, key)
	if timeUnknown {
		r.unknown++
	}
}

func entry(key, value string, revision int64) seamstore.Entry {
	return seamstore.Entry{Key: key, Value: []byte(value), Revision: revision}
}

func put(key, value string, revision int64) seamstore.Change {
	return seamstore.Change{Entry: entry(key, value, revision)}
}

func deletion(key string, revision int64) seamstore.Change {
	return seamstore.Change{Entry: seamstore.Entry{Key: key, Revision: revision}, Deleted: true}
}

var now = time.Unix(1000, 0)

func TestMirrorNeverGoesBack(t *testing.T) {
	type step func(m *seammirror.Mirror)
	apply := func(changes ...seamstore.Change) step {
		return func(m *seammirror.Mirror) { m.Apply(now, changes) }
	}
	replace := func(revision int64, entries ...seamstore.Entry) step {
		return func(m *seammirror.Mirror) { m.Replace(now, entries, revision) }
	}
	for name, tt := range map[string]struct {
		steps   []step
		want    map[string]string
		unknown int
	}{
		"changes in order":               {[]step{apply(put("a", "x", 1), put("a", "y", 2))}, map[string]string{"a": "y"}, 0},
		"older change":                   {[]step{apply(put("a", "y", 2), put("a", "x", 1))}, map[string]string{"a": "y"}, 0},
		"older change after deletion":    {[]step{apply(put("a", "x", 1), deletion("a", 3), put("a", "y", 2))}, map[string]string{}, 0},
		"older deletion":                 {[]step{apply(put("a", "x", 3), deletion("a", 2))}, map[string]string{"a": "x"}, 0},
		"list without a known key":       {[]step{apply(put("a", "x", 1)), replace(2)}, map[string]string{}, 1},
		"older list without a known key": {[]step{apply(put("a", "x", 3)), replace(2)}, map[string]string{"a": "x"}, 0},
		"older list with a deleted key":  {[]step{apply(put("a", "x", 1), deletion("a", 3)), replace(2, entry("a", "x", 1))}, map[string]string{}, 0},
		"older list with an older value": {[]step{apply(put("a", "y", 3)), replace(2, entry("a", "x", 1))}, map[string]string{"a": "y"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := &copyHandler{copy: map[string]string{}}
			m := seammirror.New(r)
			for _, s := range tt.steps {
				s(m)
			}
			if d := cmp.Diff(tt.want, r.copy); d != "" {
				t.Error(d)
			}
			if r.unknown != tt.unknown {
				t.Errorf("%d deletions at an unknown time, want %d", r.unknown, tt.unknown)
			}
			entries := map[string]string{}
			for _, e := range m.Entries() {
				entries[e.Key] = string(e.Value)
			}
			if d := cmp.Diff(maps.Clone(r.copy), entries); d != "" {
				t.Errorf("entries differ from the reported copy: %s", d)
			}
		})
	}
}

func TestApplyReturnsNewChanges(t *testing.T) {
	m := seammirror.New(&copyHandler{copy: map[string]string{}})
	m.Apply(now, []seamstore.Change{put("a", "x", 2)})
	got := m.Apply(now, []seamstore.Change{put("a", "x", 2), put("b", "y", 3)})
	if d := cmp.Diff([]seamstore.Change{put("b", "y", 3)}, got); d != "" {
		t.Error(d)
	}
}
