import { createFleetState } from "../fleet/create-fleet-state.js";
import { decodeFleetState } from "../fleet/decode-fleet-state.js";
import { decodeJob } from "../jobs/decode-job.js";
import type { EncodedJob } from "../jobs/encoded-job.js";
import type { Job } from "../jobs/job.js";
import type { SnapshotContent } from "../raft/snapshot-content.js";
import type { WaveVm } from "../reboot-waves/wave-vm.js";
import type { Wave } from "../reboot-waves/wave.js";
import { decodeTables } from "../tables/decode-tables.js";
import type { ChangeRecord } from "./change-record.js";
import type { ControlState } from "./control-state.js";
import type { DispatchRecord } from "./dispatch-record.js";
import { takeArrayElements } from "./take-array-elements.js";

/** Where the text holds the jobs. */
const jobsPath = ["fleet", "jobs"];

/**
 * Decodes the replicated state from a snapshot, job by job, as the heap cannot hold the text next to the state.
 * @param content - the output of encodeControlState, also of earlier releases
 * @returns the state, without recent table updates
 */
export function decodeControlState(content: SnapshotContent): ControlState {
    const jobs: Job[] = [];
    const others = takeArrayElements(
        content.listBuffers(),
        jobsPath,
        text => jobs.push(decodeJob(JSON.parse(text) as EncodedJob)),
    );
    const saved = JSON.parse(others) as {
        tables: string;
        changes: [string, ChangeRecord][];
        dispatches: [string, DispatchRecord][];
        grants: [string, [string, number][]][];
        /** Absent in snapshots that were written before the fleet state existed. */
        fleet?: unknown;
        waves: (Omit<Wave, "vms"> & { vms: [string, WaveVm][] })[];
    };
    return {
        tables: decodeTables(saved.tables),
        changes: new Map(saved.changes),
        dispatches: new Map(saved.dispatches),
        grants: new Map(saved.grants.map(([team, holders]) => [team, new Map(holders)])),
        waves: new Map(saved.waves.map(wave => [wave.id, { ...wave, vms: new Map(wave.vms) }])),
        fleet: saved.fleet === undefined ? createFleetState() : decodeFleetState(saved.fleet, jobs),
        recentUpdates: [],
    };
}
