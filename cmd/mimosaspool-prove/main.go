// Command mimosaspool-prove plays generated histories under faults and prints
// which promises held.
package main

import (
	"os"

	"github.com/mimosaspool/mimosaspool/internal/proof"
)

func main() { os.Exit(proof.Main()) }
