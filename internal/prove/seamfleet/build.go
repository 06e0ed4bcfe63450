package seamfleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Programs are the paths of the built programs.
type Programs struct {
	// Node is cardamomseam, Bench is seambench.
	Node  string
	Bench string
}

// Build builds the programs of the module around the working directory into a directory.
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
