// Command mimosaspool-demo runs the system on one machine against a stand-in
// platform, under load and faults, and judges it from outside.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/demo"
)

func main() { os.Exit(demo.Main()) }
