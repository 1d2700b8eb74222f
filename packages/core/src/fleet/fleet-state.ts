import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { Job } from "../jobs/job.js";
import type { VmRequestRecord } from "../pools/vm-request-record.js";
import type { Resources } from "../resources/resources.js";
import type { TargetRecord } from "../targets/target-record.js";
import type { MaintenanceWave } from "../vm-maintenance/maintenance-wave.js";
import type { TargetLoad } from "./target-load.js";

/** The replicated state of jobs, targets and the configuration that governs them. */
export interface FleetState {
    configuration: FleetConfiguration | undefined;
    /** Accepted jobs by id, oldest first. */
    readonly jobs: Map<string, Job>;
    /** Target lives by id. */
    readonly targets: Map<string, TargetRecord>;
    /** Pool to which a VM that was moved belongs when nobody is short. */
    readonly vmHomes: Map<string, string>;
    /** The newest order about a VM. */
    readonly vmOrders: Map<string, VmRequestRecord>;
    /** Maintenance waves by number. */
    readonly maintenanceWaves: Map<number, MaintenanceWave>;
    /** Ids of jobs of which something may start or run; derived from the jobs. */
    readonly activeJobs: Set<string>;
    /** What may be running by target id; derived from the jobs. */
    readonly targetLoads: Map<string, TargetLoad>;
    /** What may be running by client account; derived from the jobs. */
    readonly accountLoads: Map<string, Resources>;
}
