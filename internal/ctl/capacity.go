package ctl

import (
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/sizing"
)

// capacityCommand works out what control costs at a given size; it asks no scheduler.
func capacityCommand() *cobra.Command {
	z := sizing.Target()
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what control costs at a given size",
		Long:  "Work out what control costs at a given size, from the measurements that this program holds. The defaults are the target's size; docs/CAPACITY.md explains the tables.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m, err := sizing.Embedded()
			if err != nil {
				return err
			}
			return sizing.Plain(cmd.OutOrStdout(), m, z)
		},
	}
	f := cmd.Flags()
	f.Float64Var(&z.Workers, "workers", z.Workers, "workers in all")
	f.Float64Var(&z.Tasks, "tasks", z.Tasks, "running tasks in all")
	f.Float64Var(&z.ServiceShare, "service-share", z.ServiceShare, "part of the tasks that belongs to services, 0 to 1")
	f.Float64Var(&z.JobsPerDay, "jobs-per-day", z.JobsPerDay, "jobs declared a day")
	f.Float64Var(&z.TasksPerJob, "tasks-per-job", z.TasksPerJob, "tasks that a job starts")
	f.Float64Var(&z.StartsPerSecond, "starts-per-second", z.StartsPerSecond, "task starts a second at the peak")
	f.Float64Var(&z.Teams, "teams", z.Teams, "teams")
	f.Float64Var(&z.Domains, "domains", z.Domains, "failure domains")
	f.Float64Var(&z.EntryHosts, "entry-hosts", z.EntryHosts, "entry hosts in each domain")
	f.Float64Var(&z.ChangesPerDay, "changes-per-day", z.ChangesPerDay, "configuration changes a day")
	f.Float64Var(&z.ReplacedPerDay, "replaced-per-day", z.ReplacedPerDay, "hosts restarted or replaced a day")
	f.Float64Var(&z.RenewSeconds, "renew-seconds", z.RenewSeconds, "seconds between writes to a worker")
	return cmd
}
