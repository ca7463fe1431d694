// Command standin-3 plays the scripts of this review: it is the platform's store and list of
// machines, the runners and the clients, and starts the system's programs as processes.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(s *Site, trouble bool) (broken []string){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "0" && os.Args[3] != "1" {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD TROUBLE, which is 1 or, to leave the disruption out, 0")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { fatal(2, "the script takes too long") })
	trouble := os.Args[3] == "1"
	s := newSite(os.Args[2])
	s.rec.Log("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](s, trouble)
	for _, b := range broken {
		s.rec.Log("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) == 0 {
		s.rec.Log("the rule held")
		fmt.Println("the rule held")
	}
	s.Close()
	if len(broken) > 0 {
		os.Exit(1)
	}
}
