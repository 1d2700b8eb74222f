import type { RunList } from "./run-list.js";
import { RunListing } from "./run-listing.js";
import type { RunSyncPlan } from "./run-sync-plan.js";

/** What the leader knows of its own request for a run. */
interface KnownRequest {
    /** When the target last confirmed a request, monotonic milliseconds; a list requested later reflects it. */
    readonly confirmedAt: number | undefined;
    /** Whether the target has confirmed a stop. */
    readonly isStopConfirmed: boolean;
}

/**
 * Compares the runs that are recorded on a target with those that it lists. Nothing follows from the absence of a run in a
 * list that holds only a part of the ends: it may have ended as done. A later list tells, once the leader has committed
 * the ends of this one.
 * @param recorded - numbers of the recorded runs, by encoded task key, without those that this list has ended
 * @param list - the runs that the target lists
 * @param findRequest - finds the request of this leader for a run
 * @returns what to do about each run
 */
export function planRunSync(
    recorded: ReadonlyMap<string, number>,
    list: RunList,
    findRequest: (task: string, run: number) => KnownRequest | undefined,
): RunSyncPlan {
    const plan = { confirmed: [], unstarted: [], lost: [], stopped: [], unassigned: [] } as {
        -readonly [Name in keyof RunSyncPlan]: RunSyncPlan[Name][number][];
    };
    const running = new Map(list.running.map(({ task, run }) => [task, run]));
    const ended = collectEndedRuns(list);
    for (const [task, run] of recorded) {
        const listing = findListing(running, ended, list.isComplete, task, run);
        if (listing === RunListing.Running || listing === RunListing.Ended) {
            plan.confirmed.push({ task, run });
        }
        if (listing !== RunListing.Missing) {
            continue;
        }
        const request = findRequest(task, run);
        if (request?.confirmedAt === undefined) {
            plan.unstarted.push({ task, run });
        }
        else if (request.confirmedAt < list.requestedAt) {
            (request.isStopConfirmed ? plan.stopped : plan.lost).push({ task, run });
        }
    }
    return { ...plan, unassigned: list.running.filter(({ task, run }) => recorded.get(task) !== run) };
}

/** Collects the numbers of the ended runs by task, as a list may hold several runs of one task. */
function collectEndedRuns({ ended }: RunList): ReadonlyMap<string, ReadonlySet<number>> {
    const runs = new Map<string, Set<number>>();
    for (const { task, run } of ended) {
        runs.set(task, (runs.get(task) ?? new Set()).add(run));
    }
    return runs;
}

function findListing(
    running: ReadonlyMap<string, number>,
    ended: ReadonlyMap<string, ReadonlySet<number>>,
    isComplete: boolean,
    task: string,
    run: number,
): RunListing {
    if (running.get(task) === run) {
        return RunListing.Running;
    }
    if (ended.get(task)?.has(run) === true) {
        return RunListing.Ended;
    }
    return isComplete ? RunListing.Missing : RunListing.Unknown;
}
