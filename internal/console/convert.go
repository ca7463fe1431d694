package console

import (
	api "github.com/mimosaspool/mimosaspool/api/operator"
	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

func encodeSize(s workflow.Size) *api.Size {
	return &api.Size{MilliCpu: s.MilliCPU, MemoryMib: s.MemoryMiB, Accelerators: s.Accelerators}
}

func encodeJob(j *workflow.Job) *api.Job {
	out := &api.Job{Id: j.ID, Queue: j.Queue, Spec: []byte(j.Spec), Times: int32(j.ScheduledOccurrences), FirstMillis: j.FirstDueMillis,
		IntervalMillis: j.IntervalMillis, AcceptedMillis: j.AcceptedMillis}
	for _, s := range j.Steps {
		x := &api.Step{Count: int32(s.Count), Size: encodeSize(s.Size), EstimateMillis: s.EstimateMillis, Checkpointing: s.Checkpointing,
			Gang: s.Gang, SameRack: s.SameRack, Requires: s.Requires, Rack: s.DataRack, MostPerWorker: int32(s.MaxPerWorker),
			Speculative: s.Speculative, LongRunning: s.LongRunning, Image: s.Image, TargetMillis: s.TargetLatencyMillis, Filler: s.Filler,
			DisruptionBudget: int32(s.DisruptionBudget)}
		for _, d := range s.DependsOn {
			x.DependsOn = append(x.DependsOn, int32(d))
		}
		out.Steps = append(out.Steps, x)
	}
	return out
}

func decodeJob(j *api.Job) workflow.Job {
	out := workflow.Job{ID: j.GetId(), Queue: j.GetQueue(), Spec: string(j.GetSpec()), ScheduledOccurrences: int(j.GetTimes()),
		FirstDueMillis: j.GetFirstMillis(), IntervalMillis: j.GetIntervalMillis(), AcceptedMillis: j.GetAcceptedMillis()}
	for _, s := range j.GetSteps() {
		z := s.GetSize()
		x := workflow.Step{Count: int(s.GetCount()), Size: workflow.Size{MilliCPU: z.GetMilliCpu(), MemoryMiB: z.GetMemoryMib(), Accelerators: z.GetAccelerators()},
			EstimateMillis: s.GetEstimateMillis(), Checkpointing: s.GetCheckpointing(), Gang: s.GetGang(), SameRack: s.GetSameRack(),
			Requires: s.GetRequires(), DataRack: s.GetRack(), MaxPerWorker: int(s.GetMostPerWorker()), Speculative: s.GetSpeculative(),
			LongRunning: s.GetLongRunning(), Image: s.GetImage(), TargetLatencyMillis: s.GetTargetMillis(), Filler: s.GetFiller(),
			DisruptionBudget: int(s.GetDisruptionBudget())}
		for _, d := range s.GetDependsOn() {
			x.DependsOn = append(x.DependsOn, int(d))
		}
		out.Steps = append(out.Steps, x)
	}
	return out
}

func encodeState(j node.JobState) *api.JobState {
	tasks := 0
	for i := range j.Job.Steps {
		tasks += j.Job.Steps[i].Count
	}
	finished := j.Progress.FinishedOccurrences
	for _, o := range j.Progress.Occurrences {
		if o.Finished {
			finished++
		}
	}
	return &api.JobState{Id: j.Job.ID, Queue: j.Job.Queue, State: string(j.State), Steps: int32(len(j.Job.Steps)), Tasks: int32(tasks),
		Occurrences: int32(j.Job.Occurrences()), Finished: int32(finished), AcceptedMillis: j.Job.AcceptedMillis, Offset: j.Offset}
}

// recordedSteps is what the log tells of the steps of a job that isn't over: of
// the occurrences that have progress, and of the first that isn't finished.
func recordedSteps(j node.JobState) []*api.StepState {
	if j.State.Final() {
		return nil
	}
	var out []*api.StepState
	first := true
	add := func(o workflow.OccurrenceProgress) {
		done := map[int]int{}
		for _, s := range o.Steps {
			if s.Step >= 0 && s.Step < len(j.Job.Steps) {
				for i := range j.Job.Steps[s.Step].Count {
					if s.Done.Has(i) {
						done[s.Step]++
					}
				}
			}
		}
		for i := range j.Job.Steps {
			out = append(out, &api.StepState{Occurrence: int32(o.Number), Step: int32(i), Tasks: int32(j.Job.Steps[i].Count), Done: int32(done[i])})
		}
	}
	for _, o := range j.Progress.Occurrences {
		if o.Finished {
			continue
		}
		first = first && o.Number != j.Progress.FinishedOccurrences
		add(o)
	}
	if first && j.Progress.FinishedOccurrences < j.Job.Occurrences() {
		add(workflow.OccurrenceProgress{Number: j.Progress.FinishedOccurrences})
	}
	return out
}

func encodeStep(s dispatch.StepView) *api.StepState {
	return &api.StepState{Occurrence: int32(s.Occurrence), Step: int32(s.Step), Tasks: int32(s.Tasks), Done: int32(s.Done),
		Starting: int32(s.Starting), Running: int32(s.Running), Stopping: int32(s.Stopping), Waiting: int32(s.Waiting), Reason: s.Reason, Detail: s.Detail,
		WaitedMillis: s.Waited.Milliseconds(), Workers: s.Workers}
}

func encodeWorker(w dispatch.WorkerView) *api.Worker {
	return &api.Worker{Id: w.ID, Address: w.Address, Pool: w.Pool, Rack: w.Rack, State: w.State, Capacity: encodeSize(w.Capacity),
		Free: encodeSize(w.Free), Starting: int32(w.Starting), Running: int32(w.Running), Stopping: int32(w.Stopping), HeardMillis: w.LastContact.Milliseconds()}
}

func encodeMember(m node.Member) *api.Member {
	return &api.Member{Node: m.Node, Address: m.Address, Holds: m.Leader, Leaving: m.Leaving, Token: m.Token}
}
