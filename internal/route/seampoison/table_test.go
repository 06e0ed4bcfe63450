package seampoison_test

import (
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamroutewire"
)

var start = time.Unix(1000, 0)

// crashes makes the table see the crash of as many incarnations of one target while they ran the request.
func crashes(t *seampoison.Table, now time.Time, k seampoison.Key, count int) {
	for i := range count {
		t.AddCrash(now, seampoison.Crash{
			Service: k.Service, Incarnation: seampoison.NewIncarnation("t", int64(i)), Requests: []seampoison.Running{{Fingerprint: k.Fingerprint}},
		})
	}
}

func TestVerdictByCrashesAndAnswers(t *testing.T) {
	k := seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(1, []byte("body"))}
	for _, tt := range []struct {
		name               string
		crashes            int
		answer             time.Duration
		refused, suspected bool
	}{
		{name: "nothing"},
		{name: "one crash", crashes: 1},
		{name: "two crashes", crashes: 2, suspected: true},
		{name: "three crashes", crashes: 3, refused: true, suspected: true},
		{name: "three crashes, then an answer", crashes: 3, answer: time.Second},
		{name: "three crashes shortly after an answer", crashes: 3, answer: -5 * time.Second},
		{name: "three crashes long after an answer", crashes: 3, answer: -5001 * time.Millisecond, refused: true, suspected: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := seampoison.New()
			if tt.answer < 0 {
				table.AddAnswer(start.Add(tt.answer), k)
			}
			crashes(table, start, k, tt.crashes)
			if tt.answer > 0 {
				table.AddAnswer(start.Add(tt.answer), k)
			}
			if v := table.Check(start.Add(2*time.Second), k); v.Refused != tt.refused || v.Suspected != tt.suspected {
				t.Errorf("got %+v, want refused %t, suspected %t", v, tt.refused, tt.suspected)
			}
		})
	}
}

func TestTrialsAreEverRarer(t *testing.T) {
	k := seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(1, nil)}
	for trials, delay := range []time.Duration{time.Second, 30 * time.Second, 5 * time.Minute, 50 * time.Minute, time.Hour, time.Hour} {
		table := seampoison.New()
		table.PutRecord(start, seampoison.Record{Key: k, Trials: trials, Revision: 1})
		if v := table.Check(start.Add(delay-1), k); !v.Refused || v.TrialDue {
			t.Errorf("%d trials, before %v: %+v", trials, delay, v)
		}
		if v := table.Check(start.Add(delay), k); !v.Refused || !v.TrialDue {
			t.Errorf("%d trials, after %v: %+v", trials, delay, v)
		}
	}
}

func TestRequestQuarantinedForOneServiceIsATrialAtAnother(t *testing.T) {
	k := seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(1, nil)}
	table := seampoison.New()
	table.PutRecord(start, seampoison.Record{Key: k, Trials: 3, Revision: 1})
	if v := table.Check(start, seampoison.Key{Service: "tally", Fingerprint: k.Fingerprint}); !v.Refused || !v.TrialDue {
		t.Errorf("got %+v, want a trial", v)
	}
}

func TestFingerprintsDifferByWhatTheTargetGets(t *testing.T) {
	base := func() *seamroutewire.RequestHead {
		return &seamroutewire.RequestHead{Method: "GET", Host: "a.example", Path: "/a?b", Origin: "booker", Length: 3}
	}
	digest := seampoison.HeadDigest(base())
	for name, change := range map[string]func(h *seamroutewire.RequestHead){
		"method": func(h *seamroutewire.RequestHead) { h.Method = "PUT" },
		"host":   func(h *seamroutewire.RequestHead) { h.Host = "b.example" },
		"query":  func(h *seamroutewire.RequestHead) { h.Path = "/a?c" },
		"caller": func(h *seamroutewire.RequestHead) { h.Origin = "tally" },
		"length": func(h *seamroutewire.RequestHead) { h.Length = -1 },
		"border": func(h *seamroutewire.RequestHead) { h.Host, h.Path = "a.example/", "a?b" },
	} {
		h := base()
		change(h)
		if seampoison.HeadDigest(h) == digest {
			t.Errorf("%s: the same digest", name)
		}
	}
	h := base()
	h.Id, h.Request, h.Attempt, h.Left = []byte("other"), "other", 7, 9
	if seampoison.HeadDigest(h) != digest {
		t.Error("another id gives another digest")
	}
}

func TestRecordSurvivesTheStore(t *testing.T) {
	r := seampoison.Record{
		Key:         seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(5, []byte("x"))},
		Description: seampoison.Description{Path: "/a", Caller: "tally"}, Trials: 2, Crashes: 4, Revision: 9,
	}
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := seampoison.DecodeRecord(seampoison.StoreKey(r.Key), value, 9)
	if err != nil || got != r {
		t.Errorf("got %+v, %v, want %+v", got, err, r)
	}
	if _, err := seampoison.DecodeRecord(seampoison.RecordPrefix+"other", value, 9); err == nil {
		t.Error("a record was accepted under the key of another one")
	}
}

func FuzzWhatOthersWroteIsDecodedOrRefused(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte{0x0a, 0x02, 0x0a, 0xff})
	f.Add([]byte("\x0a\x1e\x0a\x06booker\x11\x01\x02\x03\x04\x05\x06\x07\x08\x22\x08\x01\x02\x03\x04\x05\x06\x07\x08"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		table := seampoison.New()
		_ = table.Hear("n", string(b)) // an error or a report; neither may end the process
		_ = table.Report()
		if r, err := seampoison.DecodeRecord(seampoison.RecordPrefix, b, 1); err == nil {
			table.PutRecord(start, r)
		}
	})
}

func TestRecordOfAnyPathCanBeWritten(t *testing.T) {
	for name, path := range map[string]string{
		"cut within a character": "/" + strings.Repeat("ü", 200),
		"no valid UTF-8":         "/\xff\xfe",
	} {
		r := seampoison.Record{Key: seampoison.Key{Service: "booker"}, Description: seampoison.Description{Path: path}}
		if _, err := r.Encode(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
