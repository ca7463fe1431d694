// Command mimosaspool-replay runs a recorded trace of a scheduler through the
// core again, checks every effect, and prints what the trace came to.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/trace"
)

func main() { os.Exit(trace.Main()) }
