package telemetry

// Definition defines the name of a metric, time, view or decision, as listed in
// docs/operators.md.
type Definition struct{ Name, Unit, Description string }

// Metrics are the metrics that a node serves.
var Metrics = []Definition{
	{"mimosaspool_reasons_total", "events", "refusals, retries, losses and decisions by `kind` and `reason`; see below"},
	{"mimosaspool_time_seconds", "s", "histogram of times by `name`; see below"},
	{"mimosaspool_view_age_seconds", "s", "how long ago a `view` was last read without fail; none for views that this node does not follow now"},
	{"mimosaspool_holds_right", "0 or 1", "1 on the node that holds the right to place; it is 0 on all of them during a takeover"},
	{"mimosaspool_ready", "0 or 1", "1 while the node can serve callers"},
}

// Times are the values of the label name of mimosaspool_time_seconds.
var Times = []Definition{
	{"accept", "s", "from a caller's job to its answer, whatever the answer"},
	{"queue", "s", "from a job's acceptance to the begin of its first task, as a worker has shown it"},
	{"start", "s", "from an order to start to the worker's answer"},
	{"shown", "s", "from the holder's knowing that a job is over to its being in the log"},
	{"advice", "s", "one question to the policy service"},
	{"step", "s", "one step of the dispatcher; its sum is the holder's processor time for deciding"},
	{"takeover", "s", "from the begin of a term to the first placement round"},
	{"load", "s", "reading all jobs when a node starts, from the store or another node's memory"},
	{"commit", "s", "one commit of the holder, retries included"},
	{"store-append", "s", "one append to the store"},
	{"store-read", "s", "one read of new records, its wait for them included"},
	{"store-newest", "s", "one page of the newest records"},
}

// Views are the values of the label view of mimosaspool_view_age_seconds.
var Views = []Definition{
	{"jobs", "s", "the log of jobs; callers are refused as `view-stale` or `store-unreachable` when it is too old"},
	{"tenure", "s", "who holds the right to place"},
	{"configuration", "s", "the operators' records; callers are refused as `configuration-stale` when it is too old"},
	{"workers", "s", "the platform's list of workers, at the holder"},
	{"members", "s", "the other nodes, at the holder"},
}

// Decisions are the kinds of decisions that the leader makes. They are values of
// the label reason of mimosaspool_reasons_total with kind "dispatch", and of the
// field kind in log lines.
var Decisions = []Definition{
	{"job-waits", "events", "a ready step has tasks that can't start; the reason names what most workers lack"},
	{"job-ended", "events", "a job is completed, failed or cancelled"},
	{"job-cancelled", "events", "a caller's cancellation was taken in"},
	{"task-started", "events", "a worker has shown that it began a task; the age is how long the task had waited for its order"},
	{"start-unanswered", "events", "an order to start a task got no answer: it may have begun, or begin later"},
	{"task-ended", "events", "a worker has shown a task's end; the outcome says how it ended"},
	{"task-stopped", "events", "a run is being stopped, for the reason shown"},
	{"start-refused", "events", "a worker refused a start; the outcome is its answer"},
	{"run-adopted", "events", "a run of a former holder was found and taken over: a start that was not repeated"},
	{"run-lost", "events", "a run is known to be gone without its end having been seen; the outcome tells a crash of its worker from a departure, an expired lease and a run that its worker no longer lists"},
	{"contact-lost", "events", "a worker that had tasks doesn't answer; the age is the time since it last did"},
	{"contact-regained", "events", "a worker answers again"},
	{"leases-lapsed", "events", "a silent worker's leases have run out; its runs are over"},
	{"worker-gone", "events", "a worker left the platform's list, or is another machine now"},
	{"worker-returned", "events", "a worker answers that was taken for gone for the reason shown, and has run on since"},
	{"worker-crashed", "events", "a worker with runs crashed; the reason tells how many, and how long after the newest start"},
	{"worker-draining", "events", "a worker gets nothing new"},
	{"worker-isolated", "events", "a worker gets nothing new for a while, since its tasks stand still or fail; the age is how long"},
	{"worker-restored", "events", "a worker on probation gets any work again, for the reason shown"},
	{"worker-evacuating", "events", "a worker gets nothing new and its runs are moved, since its machine is to be taken away"},
	{"answers-late", "events", "workers' answers reach the holder late on the whole; the age is by how much: it is short of processor time, or the links are slow"},
	{"answers-in-time", "events", "they are in time again"},
	{"takeover-waits", "events", "a second or more after a takeover, work of the time before waits for workers that don't answer; the reason tells for how many, and whether a majority of the voters is fenced"},
	{"former-leases-lapsed", "events", "a worker that never answered this holder can have no run of a former one any more; the age is that of the term"},
	{"takeover-complete", "events", "no former holder can have work running unseen any more"},
	{"step-down", "events", "a worker has seen a higher token: this holder was fenced"},
}
