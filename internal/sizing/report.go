package sizing

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Tables writes everything worked out for size z as Markdown.
func Tables(w io.Writer, m Measured, z Size) {
	s := ByName(m.Slopes)
	for _, peak := range []bool{false, true} {
		rate := "the day's mean rate of task starts"
		if peak {
			rate = "the peak rate of task starts"
		}
		for _, r := range Work(z, s, peak) {
			if peak && r.Name != Work(z, s, peak)[0].Name {
				continue
			}
			fmt.Fprintf(w, "### %s, at %s\n\n", r.Name, rate)
			roleTable(w, r)
		}
	}
	logTable(w, z, s)
}

func roleTable(w io.Writer, r Role) {
	table(w, []string{"item", "messages/s", "KB/s", "core %", "memory MB", "from"}, func(row func(...string)) {
		for _, x := range append(r.Rows, limits(r.Sum())) {
			row(x.Item, Number(x.Messages), Number(x.KBytes), Number(x.Core), Number(x.MemoryMB), x.From)
		}
	})
}

// limits writes into the sum's last column how it stands to the limits.
func limits(sum Row) Row {
	var over []string
	for _, c := range []struct {
		name        string
		value, most float64
	}{{"core", sum.Core, LimitCorePercent}, {"memory", sum.MemoryMB, LimitMemoryMB}, {"bytes", sum.KBytes, LimitKBPerSecond}} {
		switch {
		case c.value > c.most:
			over = append(over, fmt.Sprintf("%s OVER the limit of %g", c.name, c.most))
		case c.value > c.most/2:
			over = append(over, fmt.Sprintf("%s above half of %g", c.name, c.most))
		}
	}
	sum.Item = "**sum**"
	sum.From = strings.Join(over, "; ")
	if sum.From == "" {
		sum.From = "all below half of the limits"
	}
	return sum
}

func logTable(w io.Writer, z Size, s Slopes) {
	fmt.Fprintf(w, "### the platform's log\n\n")
	table(w, []string{"item", "appends/s", "peak appends/s", "MB a day", "from"}, func(row func(...string)) {
		sum := LogUse{}
		for _, u := range Log(z, s) {
			row(u.Item, Number(u.AppendsPerSecond), Number(u.PeakAppendsSecond), Number(u.MegabytesPerDay), u.From)
			sum.AppendsPerSecond += u.AppendsPerSecond
			sum.PeakAppendsSecond += u.PeakAppendsSecond
			sum.MegabytesPerDay += u.MegabytesPerDay
		}
		row("**sum**", Number(sum.AppendsPerSecond), Number(sum.PeakAppendsSecond), Number(sum.MegabytesPerDay), "limit: a few hundred appends/s")
	})
}

// SlopeTable writes the measured slopes as Markdown.
func SlopeTable(w io.Writer, m Measured) {
	table(w, []string{"quantity", "against", "unit", "base", "per one", "largest residual", "exponent", "at the points"}, func(row func(...string)) {
		for _, s := range m.Slopes {
			row(s.Name, s.Of, s.Unit, Number(s.Base), Number(s.Per), fmt.Sprintf("%.0f%%", s.Residual*100), exponentText(s), PointsText(s))
		}
	})
}

// steep is the exponent above which growth is called faster than linear.
const steep = 1.15

func exponentText(s Slope) string {
	switch {
	case s.Exponent == 0:
		return "flat"
	case s.Exponent > steep:
		return fmt.Sprintf("%.2f, faster than linear", s.Exponent)
	}
	return fmt.Sprintf("%.2f", s.Exponent)
}

// PointsText lists a slope's points on one line.
func PointsText(s Slope) string {
	var b []string
	for _, p := range s.Points {
		b = append(b, fmt.Sprintf("%g: %s", p.X, Number(p.Y)))
	}
	return strings.Join(b, ", ")
}

// IncidentTable writes what single events cost as Markdown.
func IncidentTable(w io.Writer, m Measured) {
	table(w, []string{"event", "a day, whole system", "tasks lost", "extra writes", "starts", "writes without reply", "seconds until all run", "idle task-seconds"}, func(row func(...string)) {
		for _, i := range m.Incidents {
			row(i.Name, Number(i.PerDay), fmt.Sprint(i.Tasks), fmt.Sprint(i.Writes), fmt.Sprint(i.Starts), fmt.Sprint(i.Failed), Number(i.Seconds), Number(i.IdleTaskSeconds))
		}
	})
}

func table(w io.Writer, head []string, fill func(row func(...string))) {
	row := func(cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }
	row(head...)
	fmt.Fprintf(w, "|%s\n", strings.Repeat("---|", len(head)))
	fill(row)
	fmt.Fprintln(w)
}

// Number writes a number with the digits that mean something.
func Number(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 100 || x <= -100:
		return fmt.Sprintf("%.0f", x)
	case x >= 1 || x <= -1:
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// Plain writes the tables for a terminal.
func Plain(w io.Writer, m Measured, z Size) error {
	var b strings.Builder
	Tables(&b, m, z)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for line := range strings.Lines(b.String()) {
		if strings.HasPrefix(line, "|--") {
			continue
		}
		line = strings.TrimSuffix(strings.TrimPrefix(line, "| "), " |\n")
		fmt.Fprintln(t, strings.ReplaceAll(strings.TrimSpace(line), " | ", "\t"))
	}
	return t.Flush()
}
