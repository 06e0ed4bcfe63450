package seamfleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Programs holds the paths of the built executables.
type Programs struct {
	// Node is the cardamomseam executable, Bench is seambench.
	Node  string
	Bench string
}

// Build compiles cardamomseam and seambench from the module that contains the working
// directory and writes the executables to directory.
func Build(ctx context.Context, directory string) (Programs, error) {
	module, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return Programs{}, errors.Wrap(err, "go env GOMOD")
	}
	c := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator),
		"./cmd/cardamomseam", "./cmd/seambench")
	c.Dir = filepath.Dir(strings.TrimSpace(string(module)))
	if output, err := c.CombinedOutput(); err != nil {
		return Programs{}, errors.Wrapf(err, "go build: %s", output)
	}
	return Programs{
		Node:  filepath.Join(directory, "cardamomseam"),
		Bench: filepath.Join(directory, "seambench"),
	}, nil
}
