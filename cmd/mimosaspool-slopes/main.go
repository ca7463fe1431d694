// Command mimosaspool-slopes measures how the cost of control grows.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/capacity"
)

func main() { os.Exit(capacity.Main()) }
