// Command mimosaspool-scheduler places tasks on the workers of one failure domain.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/schedulerd"
)

func main() { os.Exit(schedulerd.Main()) }
