// Command mimosaspoolctl sends operators' statements to a scheduler.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/ctl"
)

func main() { os.Exit(ctl.Main()) }
