package language

import (
	"math"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// choices are the values of settings that have a fixed set of them.
var choices = map[string][]string{
	"policy":  {"fast", "thrifty", "careful"},
	"urgency": {"low", "normal", "urgent"},
	"spread":  {"yes", "no"},
}

// setting is the value of an option; the field that its key names is set.
type setting struct {
	size    resource.Vector
	number  int64
	team    string
	policy  configuration.Policy
	urgency configuration.Urgency
	spread  bool
}

func (o *Option) parse() (v setting, err error) {
	s := o.Value.Text
	switch o.Key {
	case "team":
		v.team, err = s, checkName(s)
	case "count":
		v.number, err = integer(s, 1, maxCount)
	case "cpu":
		v.size.MilliCPU, err = cores(s)
	case "memory":
		v.size.MemoryMiB, err = memory(s)
	case "accelerators":
		v.size.Accelerators, err = integer(s, 1, maxCount)
	case "policy":
		v.policy, err = oneOf(s, configuration.Fast, configuration.Thrifty, configuration.Careful)
	case "urgency":
		v.urgency, err = oneOf(s, configuration.Low, configuration.Normal, configuration.Urgent)
	case "run":
		v.number, err = runTime(s)
	case "spread":
		var yes string
		yes, err = oneOf(s, "yes", "no")
		v.spread = yes == "yes"
	case "weight":
		v.number, err = integer(s, 1, maxWeight)
	}
	return v, err
}

// Expected returns the version that the statement expects, if it names one.
func (s *Statement) Expected() (int64, bool) {
	switch {
	case s.Absent:
		return configuration.Absent, true
	case s.Version == nil:
		return 0, false
	}
	n, err := integer(s.Version.Text, 0, math.MaxInt64)
	return n, err == nil
}

// Max returns the limit that w gives, or most when there is none.
func Max(w *Word, most int) int {
	if w == nil {
		return most
	}
	n, err := integer(w.Text, 1, maxCount)
	if err != nil {
		return most
	}
	return min(int(n), most)
}

// Value returns the domain that a checked statement declares.
func (d *Domain) Value() configuration.Domain {
	return configuration.Domain{Name: d.Name.Text, Region: d.Region.Text, Workers: expandAll(d.Workers), Entries: expandAll(d.Entries)}
}

func expandAll(words []*Word) []string {
	var all []string
	for _, w := range words {
		names, _ := expand(w.Text)
		all = append(all, names...)
	}
	return all
}

// Value returns the team that a checked statement declares.
func (t *Team) Value() configuration.Team {
	out := configuration.Team{Name: t.Name.Text, Weight: 1}
	ApplyTeam(t.Options, &out)
	return out
}

// Value returns the workload that a checked statement declares. Without homes
// in the statement it has none.
func (w *Workload) Value() configuration.Workload {
	out := configuration.Workload{
		Name: w.Name.Text, Kind: configuration.WorkloadKind(w.Kind), Count: 1,
		Policy: configuration.Fast, Urgency: configuration.Normal,
	}
	ApplyWorkload(w.Options, &out)
	for _, h := range w.Homes {
		n, _ := integer(h.Count.Text, 0, maxCount)
		out.Homes = append(out.Homes, configuration.Home{Domain: h.Domain.Text, Count: int(n)})
	}
	return out
}

// ApplyTeam changes what checked options name.
func ApplyTeam(options []*Option, out *configuration.Team) {
	for _, o := range options {
		v, _ := o.parse()
		applySize(o.Key, v, &out.Quota)
		if o.Key == "weight" {
			out.Weight = v.number
		}
	}
}

// ApplyWorkload changes what checked options name.
func ApplyWorkload(options []*Option, out *configuration.Workload) {
	for _, o := range options {
		v, _ := o.parse()
		applySize(o.Key, v, &out.Size)
		switch o.Key {
		case "team":
			out.Team = v.team
		case "count":
			out.Count = int(v.number)
		case "policy":
			out.Policy = v.policy
		case "urgency":
			out.Urgency = v.urgency
		case "run":
			out.RunMillis = v.number
		case "spread":
			out.Spread = v.spread
		}
	}
}

func applySize(key string, v setting, out *resource.Vector) {
	switch key {
	case "cpu":
		out.MilliCPU = v.size.MilliCPU
	case "memory":
		out.MemoryMiB = v.size.MemoryMiB
	case "accelerators":
		out.Accelerators = v.size.Accelerators
	}
}

// OptionWord returns the value of the last option with the key, or nil.
func OptionWord(options []*Option, key string) *Word {
	var w *Word
	for _, o := range options {
		if o.Key == key {
			w = o.Value
		}
	}
	return w
}
