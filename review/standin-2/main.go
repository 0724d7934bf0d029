// Command standin2 plays the cases of the second review: it starts the programs of the
// project on loopback, plays clients, handlers and the operator, causes the disruption
// of a case, and judges one rule. Exit status: 0 held, 1 broken, 2 could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the result of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	unplayed verdict = 2
)

type play func(c *cluster, trouble bool) verdict

var plays = map[string]play{
	"accepted-twice": playAcceptedTwice,
	"gone-store":     playGoneStore,
}

func main() {
	os.Exit(int(run2()))
}

func run2() verdict {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return unplayed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "saltreel-review-")
	if err != nil {
		rec.say("cannot run: %v", err)
		return unplayed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		rec.say("logs in %s", dir)
	}
	c, err := newCluster(dir, rec)
	if err != nil {
		rec.say("cannot run: %v", err)
		return unplayed
	}
	defer c.end()
	return plays[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
}
