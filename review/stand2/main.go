// Command stand2 plays the cases of the second review: it starts nodes as processes of their own, and is itself the
// store, the upstreams, the operator and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	keepLogs = "REVIEW_KEEP_LOGS"
)

// play is one case. It returns one of the exit codes.
type play func(c *caseRun) (int, error)

// caseRun is what a case is given.
type caseRun struct {
	program string
	rec     *recorder
	// trouble is false if the disruption is left out.
	trouble bool
	keep    string
}

func main() {
	plays := map[string]play{"poison": playPoison, "second-owner": playDrill, "second-signal": playSecondSignal, "late-beat": playLateBeat, "foreign-beat": playForeignBeat}
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE PROGRAM FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	c := &caseRun{program: os.Args[2], rec: &recorder{file: file, begin: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", keep: os.Getenv(keepLogs)}
	code, err := plays[os.Args[1]](c)
	if err != nil {
		c.rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	c.rec.note("exit code %d", code)
	os.Exit(code)
}
