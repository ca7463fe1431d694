package workflow

// maxActiveSteps bounds the steps of the active occurrences of a job that has several.
const maxActiveSteps = MaxSteps

// MaxActiveOccurrences returns how many occurrences of the job are active at the same time at
// most. Further ones that are due wait until one of them is finished.
func (j *Job) MaxActiveOccurrences() int {
	return min(j.Occurrences(), max(1, maxActiveSteps/max(1, len(j.Steps))))
}
