// Command mimosaspool-standin serves a test stand-in for the platform.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

func main() { os.Exit(standin.Main()) }
