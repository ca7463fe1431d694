// Command mimosaspool-measure replays recorded days of work under every policy
// and prints what they come to.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/measure"
)

func main() { os.Exit(measure.Main()) }
