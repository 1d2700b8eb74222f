import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { CrashedRun } from "../crashes/crashed-run.js";
import type { Job } from "../jobs/job.js";
import type { VmRequestRecord } from "../pools/vm-request-record.js";
import type { Resources } from "../resources/resources.js";
import type { TargetTable } from "../targets/target-table.js";
import type { MaintenanceWave } from "../vm-maintenance/maintenance-wave.js";
import type { TargetLoad } from "./target-load.js";

/** The replicated state of jobs, targets and VMs, and the active configuration. */
export interface FleetState {
    /** The active configuration; `undefined` until one is applied. */
    configuration: FleetConfiguration | undefined;
    /** Accepted jobs by id, oldest first. */
    readonly jobs: Map<string, Job>;
    /** Targets by id. */
    readonly targets: TargetTable;
    /** Home pool by VM, for VMs that were moved between pools: the pool from which the VM was first moved. */
    readonly vmHomes: Map<string, string>;
    /** Newest request to the VM service by VM. */
    readonly vmOrders: Map<string, VmRequestRecord>;
    /** Maintenance waves by number. */
    readonly maintenanceWaves: Map<number, MaintenanceWave>;
    /**
     * Runs that ended with the leases of targets on which nothing was started since, by target id: if the target turns out
     * to have crashed, it may have crashed under them.
     */
    readonly lapsedRuns: Map<string, CrashedRun[]>;
    /** Ids of jobs with tasks that may start or may be running; derived from the jobs. */
    readonly activeJobs: Set<string>;
    /** Encoded keys of unfinished tasks that may have crashed their targets; derived from the jobs. */
    readonly suspectTasks: Set<string>;
    /** Load of tasks that may be running, by target id; derived from the jobs. */
    readonly targetLoads: Map<string, TargetLoad>;
    /** Resources of tasks that may be running, by client account; derived from the jobs. */
    readonly accountLoads: Map<string, Resources>;
    /** Thousandths of a core that the tasks of a job that may be running need, by job id; derived from the jobs. */
    readonly jobCpus: Map<string, number>;
    /** Estimated memory of each job, bytes, by job id; derived from the jobs. */
    readonly jobBytes: Map<string, number>;
    /** Estimated memory of the jobs of each client account, bytes; derived from the jobs. */
    readonly accountBytes: Map<string, number>;
}
