package seammemory_test

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/platform/seammemory"
)

const smaps = `00400000-00e6b000 r-xp 00000000 fe:00 1234 /opt/my node
Rss:                9964 kB
Anonymous:             0 kB
VmFlags: rd ex mr mw me
00e6b000-01a1d000 r--p 00a6b000 fe:00 1234 /opt/my node
Anonymous:             4 kB
01a1d000-01abf000 rw-p 0161d000 fe:00 1234 /opt/my node
Anonymous:             0 kB
01abf000-03b0a000 rw-p 00000000 00:00 0
Anonymous:             0 kB
7f9400209000-7f940035f000 r-xp 00026000 fe:00 99 /usr/lib/libc.so.6
Anonymous:             0 kB
7f9400400000-7f9400401000 r--p 00a6b000 fe:00 1234 /opt/my node
Anonymous:             0 kB
`

func TestOnlyUnmodifiedProgramPagesAreReleasable(t *testing.T) {
	got, err := seammemory.ReleasableForTest(strings.NewReader(smaps), "/opt/my node")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uintptr{0x400000, 0x7f9400400000}, got); diff != "" {
		t.Error(diff)
	}
}

func TestMalformedMappingsAreRejected(t *testing.T) {
	_, err := seammemory.ReleasableForTest(strings.NewReader("xyz r-xp 0 fe:00 1 /opt/node\n"), "/opt/node")
	var malformed *seammemory.MappingError
	if !errors.As(err, &malformed) {
		t.Fatalf("got %v", err)
	}
}

func TestProcessRunsAfterPagesAreReleased(t *testing.T) {
	n, err := seammemory.ReleaseProgramPages()
	if err != nil {
		t.Fatal(err)
	}
	if runtime.GOOS == "linux" && n == 0 {
		t.Error("nothing was returned")
	}
	runtime.GC()
}
