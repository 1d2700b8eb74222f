import { encodeFleetState } from "../fleet/encode-fleet-state.js";
import { encodeJob } from "../jobs/encode-job.js";
import type { Job } from "../jobs/job.js";
import { SnapshotContent } from "../raft/snapshot-content.js";
import { encodeTables } from "../tables/encode-tables.js";
import type { ControlState } from "./control-state.js";

/**
 * Encodes the replicated state for a snapshot, without the recent table updates. The text is one JSON object, built job by
 * job, as the heap cannot hold it next to the state.
 * @param state - the state
 * @returns content for decodeControlState
 */
export function encodeControlState(state: ControlState): SnapshotContent {
    return SnapshotContent.encode(listPieces(state));
}

function* listPieces(state: ControlState): Generator<string> {
    const others = JSON.stringify({
        tables: encodeTables(state.tables),
        changes: [...state.changes],
        dispatches: [...state.dispatches],
        waves: [...state.waves.values()].map(wave => ({ ...wave, vms: [...wave.vms] })),
        grants: [...state.grants].map(([team, holders]) => [team, [...holders]]),
    });
    yield `${cutLastBrace(others)},"fleet":${cutLastBrace(JSON.stringify(encodeFleetState(state.fleet)))},"jobs":[`;
    yield* listJobs(state.fleet.jobs.values());
    yield "]}}";
}

function* listJobs(jobs: Iterable<Job>): Generator<string> {
    let separator = "";
    for (const job of jobs) {
        yield `${separator}${JSON.stringify(encodeJob(job))}`;
        separator = ",";
    }
}

/** Leaves an object open for further properties. */
function cutLastBrace(text: string): string {
    return text.slice(0, -1);
}
