// Command standin plays the cases of the review: it starts the project's programs on
// loopback, and stands in for clients, handlers, the operator and the platform.
//
//	standin CASE FOLDER
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trouble is whether the disruption is played.
var trouble = os.Getenv("TROUBLE") != "0"

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict is how a case ended: the breaks of the rule that were seen.
type verdict struct {
	rule   string
	breaks []string
}

func (v *verdict) add(format string, args ...any) {
	v.breaks = append(v.breaks, fmt.Sprintf(format, args...))
}

var cases = map[string]func(c *cluster) (*verdict, error){
	"quota":       quotaCase,
	"endpoint":    endpointCase,
	"roll":        rollCase,
	"live-resume": resumeCase,
	"overlap":     overlapCase,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	r.line("case %s, trouble %v, %s", os.Args[1], trouble, r.start.UTC().Format(time.RFC3339))
	c, err := newCluster(r)
	if err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	done := make(chan int, 1)
	go func() {
		verdict, err := runCase(c, os.Args[1])
		done <- report(r, verdict, err)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := 2
	select {
	case code = <-done:
	case <-stop:
	case <-time.After(115 * time.Second):
		fmt.Println("not run: it took too long")
	}
	c.end()
	return code
}

func runCase(c *cluster, name string) (*verdict, error) {
	c.live = strings.HasPrefix(name, "live-")
	if err := c.startAll(); err != nil {
		return nil, err
	}
	return cases[name](c)
}

func report(r *record, v *verdict, err error) int {
	if err != nil {
		r.line("not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	}
	for _, b := range v.breaks {
		r.line("broken: %s", b)
	}
	r.line("verdict: %s, %d breaks", v.rule, len(v.breaks))
	for i, b := range v.breaks {
		if i < 5 {
			fmt.Println(b)
		}
	}
	if len(v.breaks) > 0 {
		fmt.Printf("%s is broken, %d times\n", v.rule, len(v.breaks))
		return 1
	}
	fmt.Printf("%s held\n", v.rule)
	return 0
}
