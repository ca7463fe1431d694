// Command mimosaspool-entry carries callers' requests to runners.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/entry"
)

func main() { os.Exit(entry.Main()) }
