// Command standin plays the scripted cases of the review: it starts the nodes as
// processes, with stand-ins for the store, the list of machines, the runners and the
// clients in this process. It exits with 1 if the rule of the case was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func main() {
	root := flag.String("root", ".", "the repository")
	name := flag.String("case", "", "the case")
	recordFile := flag.String("record", "record.txt", "where to write what was seen")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	dir, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := newWorld(dir, *recordFile, os.Getenv("TROUBLE") != "0")
	time.AfterFunc(115*time.Second, func() { w.fatal("it took too long") })
	broken := play(w)
	if broken == "" {
		w.logf("the rule held")
		w.close()
		os.Exit(0)
	}
	w.logf("the rule is broken: %s", broken)
	fmt.Println("the rule is broken:", broken)
	w.close()
	os.Exit(1)
}
