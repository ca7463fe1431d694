package workflow

// Memory that jobs take on a 64-bit host, in bytes: their entries in the table of a node and
// their state at the leader, which shares the job itself.
const (
	jobMemory  = 1500
	stepMemory = 1000
	// occurrenceMemory is for each occurrence that is active.
	occurrenceMemory = 200
	dependencyMemory = 8
	// taskMemory is for the record of a task's progress. The tasks that run are bounded by
	// themselves.
	taskMemory = 32
	// endedJobMemory and endedStepMemory are for the summary of a job.
	endedJobMemory  = 1200
	endedStepMemory = 208
	// maxActiveSteps bounds the steps of the active occurrences of a job that has several.
	maxActiveSteps = MaxSteps
)

// MaxActiveOccurrences returns how many occurrences of the job are active at the same time at
// most. Further ones that are due wait until one of them is finished.
func (j *Job) MaxActiveOccurrences() int {
	return min(j.Occurrences(), max(1, maxActiveSteps/max(1, len(j.Steps))))
}

// MemoryBytes returns the memory that the job takes from its acceptance until it has ended.
func (j *Job) MemoryBytes() int64 {
	n, tasks := int64(jobMemory+len(j.Spec)+len(j.Account)), int64(0)
	occurrences := int64(j.MaxActiveOccurrences())
	for i := range j.Steps {
		s := &j.Steps[i]
		n += int64(len(s.Requires) + len(s.DataRack) + len(s.Image) + dependencyMemory*len(s.DependsOn))
		tasks += int64(s.Count)
	}
	return n + occurrences*(occurrenceMemory+int64(len(j.Steps))*stepMemory+tasks*taskMemory)
}

// EndedMemoryBytes returns the memory that the job takes once only its summary is kept.
func (j *Job) EndedMemoryBytes() int64 {
	return endedJobMemory + int64(len(j.Account)) + int64(len(j.Steps))*endedStepMemory
}
