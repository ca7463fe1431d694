package telemetry

// Name is one thing that is measured, as docs/operators.md tells it.
type Name struct{ Name, Unit, Meaning string }

// Metrics are the metrics of a node, as they are served.
var Metrics = []Name{
	{"mimosaspool_reasons_total", "events", "refusals, retries, losses and decisions by `kind` and `reason`; see below"},
	{"mimosaspool_time_seconds", "s", "histogram of times by `name`; see below"},
	{"mimosaspool_view_age_seconds", "s", "how long ago a `view` was last read without fail; none for views that this node does not follow now"},
	{"mimosaspool_holds_right", "0 or 1", "1 on the node that holds the right to place; it is 0 on all of them during a takeover"},
	{"mimosaspool_ready", "0 or 1", "1 while the node can serve callers"},
}

// Times are the names in mimosaspool_time_seconds.
var Times = []Name{
	{"accept", "s", "from a caller's job to its answer, whatever the answer"},
	{"queue", "s", "from a job's acceptance to the order for its first task"},
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

// Views are the names in mimosaspool_view_age_seconds.
var Views = []Name{
	{"jobs", "s", "the log of jobs; callers are refused as `view-stale` or `store-unreachable` when it is too old"},
	{"tenure", "s", "who holds the right to place"},
	{"configuration", "s", "the operators' records; callers are refused as `configuration-stale` when it is too old"},
	{"workers", "s", "the platform's list of workers, at the holder"},
	{"members", "s", "the other nodes, at the holder"},
}

// Decisions are the kinds of decisions of the holder: `reason` in
// mimosaspool_reasons_total with the kind dispatch, and `kind` in log lines.
var Decisions = []Name{
	{"job-waits", "events", "a ready step has tasks that can't start; the reason names what most workers lack"},
	{"job-ended", "events", "a job is completed, failed or cancelled"},
	{"job-cancelled", "events", "a caller's cancellation was taken in"},
	{"task-started", "events", "a task was sent to a worker"},
	{"task-ended", "events", "a worker has shown a task's end; the outcome says how it ended"},
	{"task-stopped", "events", "a run is being stopped, for the reason shown"},
	{"start-refused", "events", "a worker refused a start; the outcome is its answer"},
	{"run-adopted", "events", "a run of a former holder was found and taken over: a start that was not repeated"},
	{"run-lost", "events", "a run is known to be gone without its end having been seen; it is started again"},
	{"contact-lost", "events", "a worker that had tasks doesn't answer; the age is the time since it last did"},
	{"contact-regained", "events", "a worker answers again"},
	{"leases-lapsed", "events", "a silent worker's leases have run out; its runs are over"},
	{"worker-gone", "events", "a worker left the platform's list, or is another machine now"},
	{"worker-draining", "events", "a worker gets nothing new"},
	{"worker-isolated", "events", "a worker gets nothing new for a while, since its tasks stand still"},
	{"worker-evacuating", "events", "a worker gets nothing new and its runs are moved, since its machine is to be taken away"},
	{"answers-late", "events", "workers' answers reach the holder late on the whole; the age is by how much: it is short of processor time, or the links are slow"},
	{"answers-in-time", "events", "they are in time again"},
	{"takeover-complete", "events", "no former holder can have work running unseen any more"},
	{"step-down", "events", "a worker has seen a higher token: this holder was fenced"},
}
