// Command mimosaspool-node is the whole system on one host of the users'
// platform: callers' jobs, and, while it holds the right to place, the dispatcher.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/noded"
	"github.com/mimosaspool/mimosaspool/platform"
)

func main() { os.Exit(noded.Main(platform.Connect)) }
