package language

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrValue marks a value that can't be used.
var ErrValue = errors.New("bad value")

// valueError tells what would be allowed; it matches ErrValue.
type valueError string

func (e valueError) Error() string { return string(e) }

// Is makes every valueError match ErrValue.
func (valueError) Is(target error) bool { return target == ErrValue }

// Bounds of values.
const (
	maxCount       = 1_000_000
	maxCores       = 1_000_000
	maxMemoryMiB   = 1 << 40
	maxName        = 63
	maxRange       = 10000
	maxNames       = 50000
	maxRunTime     = 366 * 24 * time.Hour
	minRunTime     = time.Millisecond
	maxWeight      = 1_000_000
	mebibytesInGiB = 1024
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9_.-]*[A-Za-z0-9])?$`)

// reserved words can't be names, since they begin other parts of a statement.
var reserved = map[string]bool{
	"services": true, "service": true, "batch": true, "gangs": true, "gang": true, "workloads": true, "workload": true,
	"team": true, "where": true, "if": true, "for": true, "limit": true,
}

func checkName(s string) error {
	switch {
	case len(s) > maxName:
		return valueError(fmt.Sprintf("a name has at most %d characters", maxName))
	case reserved[s]:
		return valueError("a word of the language can't be a name")
	case !namePattern.MatchString(s):
		return valueError("a name is made of letters, digits, '-', '_' and '.', and begins and ends with a letter or digit")
	}
	return nil
}

func integer(s string, least, most int64) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < least || n > most {
		return 0, valueError(fmt.Sprintf("must be a whole number from %d to %d", least, most))
	}
	return n, nil
}

// cores reads processors such as 0.5 or 4, in thousandths.
func cores(s string) (int64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0 && f <= maxCores) || math.Round(f*1000) < 1 {
		return 0, valueError("must be a number of cores above zero, such as 0.5 or 4")
	}
	return int64(math.Round(f * 1000)), nil
}

// memory reads an amount such as 512MiB or 8GiB, in MiB.
func memory(s string) (int64, error) {
	unit := int64(1)
	digits, ok := strings.CutSuffix(s, "MiB")
	if !ok {
		digits, ok = strings.CutSuffix(s, "GiB")
		unit = mebibytesInGiB
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if !ok || err != nil || n <= 0 || n > maxMemoryMiB/unit {
		return 0, valueError("must be an amount above zero such as 512MiB or 8GiB")
	}
	return n * unit, nil
}

// FormatMemory writes an amount in MiB as the language reads it.
func FormatMemory(mib int64) string {
	if mib != 0 && mib%mebibytesInGiB == 0 {
		return fmt.Sprintf("%dGiB", mib/mebibytesInGiB)
	}
	return fmt.Sprintf("%dMiB", mib)
}

func runTime(s string) (int64, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < minRunTime || d > maxRunTime {
		return 0, valueError("must be a time above zero such as 90s, 15m or 2h")
	}
	return d.Milliseconds(), nil
}

func oneOf[T ~string](s string, allowed ...T) (T, error) {
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		if T(s) == a {
			return a, nil
		}
		names = append(names, string(a))
	}
	return "", valueError("must be one of " + strings.Join(names, ", "))
}

var rangePattern = regexp.MustCompile(`^([^\[\]]*)\[(\d{1,9})-(\d{1,9})\]([^\[\]]*)$`)

// expand writes out a range of names such as w-[01-12].
func expand(s string) ([]string, error) {
	m := rangePattern.FindStringSubmatch(s)
	if m == nil {
		return []string{s}, checkName(s)
	}
	from, _ := strconv.Atoi(m[2])
	to, _ := strconv.Atoi(m[3])
	if to < from || to-from >= maxRange {
		return nil, valueError(fmt.Sprintf("a range goes upwards over at most %d names, such as w-[01-12]", maxRange))
	}
	var names []string
	for i := from; i <= to; i++ {
		name := fmt.Sprintf("%s%0*d%s", m[1], len(m[2]), i, m[4])
		if err := checkName(name); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// Number reads a value that a numeric column is compared with; memory is in MiB.
func Number(s string) (float64, error) {
	if n, err := memory(s); err == nil {
		return float64(n), nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) {
		return 0, valueError("must be a number, or an amount of memory such as 8GiB")
	}
	return f, nil
}
