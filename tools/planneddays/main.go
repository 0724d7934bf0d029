// Command planneddays generates days for the bench. Each day overlaps two kinds of
// planned work at random times during the traffic; there is one day for every pair
// of kinds. With -fault, each day also has one fault close to the planned work.
// README.md describes how to run them.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// Times of a day, in seconds from the start of the traffic.
const (
	minStart       = 0.2
	maxStart       = 30.0
	pairsPerDay    = 2   // occurrences of the pair on one day
	maxPairOffset  = 3.0 // between the starts of the two entries of a pair
	maxFaultOffset = 4.0 // between a pair and its fault
)

// entry is a line of the plan or the faults of a day, without its time.
type entry struct {
	name string // part of the name of the day
	line func(r *rand.Rand) string
}

// fixedEntry is an entry without parameters that are drawn.
func fixedEntry(name, line string) entry {
	return entry{name, func(*rand.Rand) string { return line }}
}

func uniform(r *rand.Rand, least, most float64) float64 { return least + r.Float64()*(most-least) }

func choose(r *rand.Rand, from ...string) string { return from[r.IntN(len(from))] }

// roll is a rolling restart of the machines of a class.
func roll(class string) entry {
	return entry{"roll-" + class, func(r *rand.Rand) string {
		how := choose(r, "", "busy")
		return fmt.Sprintf(`kind = "roll_term", on = %q, share = 1.0, x = %d.0, gap_s = %.2f, how = %q`, class, 1+r.IntN(2), uniform(r, 0.1, 1.2), how)
	}}
}

// plannedWork lists the kinds of planned work.
var plannedWork = []entry{
	roll("front"),
	roll("store"),
	roll("core"),
	fixedEntry("replace-core", `kind = "replace_core", how = "planned", x = 1.0`),
	fixedEntry("replace-store", `kind = "replace_core", on = "store", how = "planned", x = 1.0`),
	{"configuration", func(r *rand.Rand) string {
		return fmt.Sprintf(`kind = "config_change", how = %q`, choose(r, "route", "timeout", "tenant", "quota", "idle"))
	}},
	fixedEntry("race", `kind = "config_race", count = 2, gap_s = 0.7`),
	{"release", func(r *rand.Rand) string {
		return fmt.Sprintf(`kind = "release", share = 0.5, x = %d.0, gap_s = %.2f`, 1+r.IntN(4), uniform(r, 0.3, 1.2))
	}},
	fixedEntry("scale-in", `kind = "scale_in", share = 0.2`),
	fixedEntry("add-stores", `kind = "add_nodes", on = "store", count = 1`),
	fixedEntry("add-edges", `kind = "add_nodes", on = "front", count = 2`),
	fixedEntry("retire", `kind = "retire", for_s = 8.0, how = ""`),
	fixedEntry("revoke", `kind = "revoke", count = 1`),
	fixedEntry("hup", `kind = "hup", share = 1.0, gap_s = 2.0`),
}

// faults lists the faults that -fault chooses from.
var faults = []entry{
	fixedEntry("kill-store", `kind = "node_kill", on = "store", count = 1, for_s = 2.0, how = ""`),
	fixedEntry("power-store", `kind = "node_kill", on = "store", count = 1, for_s = 2.0, how = "power"`),
	fixedEntry("kill-core", `kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "leader"`),
	fixedEntry("kill-edges", `kind = "node_kill", on = "front", count = 2, for_s = 2.0, how = ""`),
	fixedEntry("freeze-store", `kind = "node_freeze", on = "store", count = 1, for_s = 3.0`),
	fixedEntry("full-disk", `kind = "disk_full", on = "store", count = 1, for_s = 4.0`),
	fixedEntry("stalled-disk", `kind = "disk_stall", on = "store", count = 1, for_s = 3.0`),
	fixedEntry("slow-disk", `kind = "disk_slow", on = "store", count = 1, x = 25.0, for_s = 4.0`),
	fixedEntry("accept-then-kill", `kind = "after_ack_kill", on = "store", count = 1, for_s = 2.0, how = "taken"`),
	fixedEntry("accept-then-wipe", `kind = "after_ack_wipe", on = "store", count = 1, for_s = 2.0, how = "taken"`),
	fixedEntry("cut-store", `kind = "core_cut", on = "store", count = 1, for_s = 4.0, how = ""`),
	fixedEntry("cut-core", `kind = "core_cut", count = 1, for_s = 4.0, how = ""`),
}

// day is one day for the bench.
type day struct {
	name         string
	plan, faults []string
}

func (d *day) toml(seed int) string {
	return fmt.Sprintf(`name = %q
slot = "trouble"
seed = %d
one = 0.76
zero = 0.41
goal = { floor = 0.1 }
labels = []
plan = [
%s]
faults = [
%s]
`, d.name, seed, strings.Join(d.plan, ""), strings.Join(d.faults, ""))
}

func (e entry) at(r *rand.Rand, seconds float64) string {
	return fmt.Sprintf("  { at = %.2f, %s },\n", min(max(seconds, minStart), maxStart), e.line(r))
}

// newDay generates a day on which two kinds of planned work overlap.
func newDay(r *rand.Rand, a, b entry, withFault bool) day {
	d := day{name: a.name + "-and-" + b.name}
	for range pairsPerDay {
		at := uniform(r, minStart, maxStart)
		d.plan = append(d.plan, a.at(r, at), b.at(r, at+uniform(r, -maxPairOffset, maxPairOffset)))
		if withFault && len(d.faults) == 0 {
			fault := faults[r.IntN(len(faults))]
			d.name += "-and-" + fault.name
			d.faults = append(d.faults, fault.at(r, at+uniform(r, -maxFaultOffset, maxFaultOffset)))
		}
	}
	return d
}

// writeDays writes a day for each pair of kinds and returns the number of files
// written.
func writeDays(dir string, seed int, withFault bool) (int, error) {
	r := rand.New(rand.NewPCG(uint64(seed), uint64(len(plannedWork))))
	n := 0
	for i, a := range plannedWork {
		for _, b := range plannedWork[i:] {
			d := newDay(r, a, b, withFault)
			path := filepath.Join(dir, fmt.Sprintf("%d-%s.toml", seed, d.name))
			if err := os.WriteFile(path, []byte(d.toml(seed)), 0o600); err != nil {
				return n, err
			}
			n++
		}
	}
	return n, nil
}

func main() {
	log.SetFlags(0)
	seed := flag.Int("seed", 1, "seed of the random times and parameters")
	dir := flag.String("dir", "", "existing directory to write the days to")
	withFault := flag.Bool("fault", false, "add one fault to each day")
	flag.Parse()
	if *dir == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	n, err := writeDays(*dir, *seed, *withFault)
	if err != nil {
		log.Fatalf("failed after %d days: %v", n, err)
	}
	fmt.Printf("wrote %d days to %s\n", n, *dir)
}
