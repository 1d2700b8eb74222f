import { maxRequestDelayMs } from "./max-request-delay-ms.js";
import { minClockRate } from "./min-clock-rate.js";
import type { TargetTable } from "./target-table.js";
import type { TaskRun } from "./task-run.js";

/** A run that a target lists and that is not recorded there. */
interface UnrecordedRun extends TaskRun {
    /** Whether no other run of its task may start meanwhile. */
    readonly isTaskBlocked: boolean;
}

/** A target incarnation that lists runs. */
interface ListingTarget {
    readonly id: string;
    readonly incarnation: number;
    /** Computes when every lease that the target may hold has expired, monotonic milliseconds. */
    readonly computeLeaseEnd: () => number;
}

interface Listing {
    readonly target: ListingTarget;
    readonly run: number;
    readonly isTaskBlocked: boolean;
    /** When the target first listed a run of the task, monotonic milliseconds. */
    readonly since: number;
    /** When it last did, monotonic milliseconds. */
    readonly listedAt: number;
}

/** Time for which a list shows that a run goes on, milliseconds: longer than a list waits for an end. */
const maxListAgeMs = 3_000;

/**
 * Runs that targets list and that are not recorded there, as they were released while they went on. They are being stopped;
 * until one has ended, it uses capacity of its target, and no other run of its task may start. Times are monotonic
 * milliseconds.
 */
export class UnrecordedRuns {
    /** Listings by id of the target, by encoded task key. */
    private readonly listings = new Map<string, Map<string, Listing>>();
    /** Tasks of which each target lists a run. */
    private readonly tasksByTarget = new Map<string, ReadonlySet<string>>();
    /** Listings that a later list did not name, by target, incarnation and task: `since` goes on if the run is listed again. */
    private readonly pastListings = new Map<string, Listing>();
    /**
     * Time after which a listing blocks nothing any longer: a stop is confirmed, or the lease of a target that cannot be
     * reached has expired, before a listing that is true has lasted for so long.
     */
    private readonly maxBlockMs: number;

    /**
     * @param maxLeaseMs - longest lease that a target accepts, milliseconds
     */
    constructor(maxLeaseMs: number) {
        this.maxBlockMs = maxRequestDelayMs + maxLeaseMs / minClockRate;
    }

    /**
     * Takes note of a list of running tasks, which replaces the one before.
     * @param target - the target
     * @param runs - the listed runs that are not recorded on the target
     * @param now - current time
     * @returns those of these runs that the list before did not name
     */
    noteList(target: ListingTarget, runs: readonly UnrecordedRun[], now: number): UnrecordedRun[] {
        const before = this.tasksByTarget.get(target.id);
        if (before === undefined && runs.length === 0) {
            return [];
        }
        const tasks = new Set(runs.map(({ task }) => task));
        before?.forEach(task => !tasks.has(task) && this.dropListing(target.id, task));
        const added = runs.filter(run => this.putListing(target, run, now));
        this.setTasks(target.id, tasks);
        return added;
    }

    /**
     * Takes note of ended runs that a target lists.
     * @param target - id of the target
     * @param ends - the runs
     * @returns whether one of them was listed as running and not recorded
     */
    noteEnds(target: string, ends: readonly TaskRun[]): boolean {
        const before = this.tasksByTarget.get(target);
        const ended = before === undefined
            ? []
            : ends.filter(({ task, run }) => this.listings.get(task)?.get(target)?.run === run);
        if (before !== undefined && ended.length > 0) {
            ended.forEach(({ task }) => this.dropListing(target, task));
            this.setTasks(target, new Set([...before].filter(task => this.listings.get(task)?.has(target) === true)));
        }
        return ended.length > 0;
    }

    /**
     * Finds a target on which a run of a task has to end before the next one may start.
     * @param task - encoded task key
     * @param targets - the recorded targets
     * @param now - current time
     * @returns id of the target, or `undefined` when the task may start
     */
    findBlocker(task: string, targets: TargetTable, now: number): string | undefined {
        const listings = [...this.listings.get(task)?.values() ?? []];
        return listings.find(listing => listing.isTaskBlocked && this.isBlocking(listing, targets, now))?.target.id;
    }

    /**
     * Collects the tasks that may not start.
     * @param targets - the recorded targets
     * @param now - current time
     * @returns encoded task keys
     */
    collectBlockedTasks(targets: TargetTable, now: number): ReadonlySet<string> {
        for (const [id, tasks] of this.tasksByTarget) {
            const isListed = [...tasks].some(task => {
                const listing = this.listings.get(task)?.get(id);
                return listing !== undefined && isListingValid(listing, targets, now);
            });
            if (!isListed) {
                tasks.forEach(task => this.dropListing(id, task));
                this.tasksByTarget.delete(id);
            }
        }
        for (const [key, { listedAt }] of this.pastListings) {
            if (now - listedAt >= this.maxBlockMs) {
                this.pastListings.delete(key);
            }
        }
        return new Set([...this.listings.keys()].filter(task => this.findBlocker(task, targets, now) !== undefined));
    }

    /**
     * Tells whether nothing may start on a target, as the end of a run there is waited for.
     * @param target - id of the target
     * @param targets - the recorded targets
     * @param now - current time
     * @returns false for a target that lists no such run, or falsely does
     */
    isTargetBlocked(target: string, targets: TargetTable, now: number): boolean {
        const tasks = this.tasksByTarget.get(target);
        return tasks !== undefined && [...tasks].some(task => {
            const listing = this.listings.get(task)?.get(target);
            return listing !== undefined && this.isBlocking(listing, targets, now);
        });
    }

    private isBlocking(listing: Listing, targets: TargetTable, now: number): boolean {
        return now - listing.since < this.maxBlockMs && isListingValid(listing, targets, now);
    }

    /** Returns whether the target did not list the run before. */
    private putListing(target: ListingTarget, { task, run, isTaskBlocked }: UnrecordedRun, now: number): boolean {
        const byTarget = this.listings.get(task) ?? new Map<string, Listing>();
        const before = byTarget.get(target.id);
        const isSame = before?.target.incarnation === target.incarnation;
        const { since } = (isSame ? before : this.pastListings.get(buildListingKey(target, task))) ?? { since: now };
        this.listings.set(task, byTarget.set(target.id, { target, run, isTaskBlocked, since, listedAt: now }));
        return !isSame || before.run !== run;
    }

    private dropListing(target: string, task: string): void {
        const byTarget = this.listings.get(task);
        const listing = byTarget?.get(target);
        if (listing !== undefined) {
            this.pastListings.set(buildListingKey(listing.target, task), listing);
        }
        byTarget?.delete(target);
        if (byTarget?.size === 0) {
            this.listings.delete(task);
        }
    }

    private setTasks(target: string, tasks: ReadonlySet<string>): void {
        if (tasks.size === 0) {
            this.tasksByTarget.delete(target);
        }
        else {
            this.tasksByTarget.set(target, tasks);
        }
    }
}

/**
 * Tells whether the listed run may still go on: its target has not ended, and has listed it just now or holds a lease. A
 * target on which nothing is recorded gets none.
 */
function isListingValid({ target, listedAt }: Listing, targets: TargetTable, now: number): boolean {
    return targets.get(target.id)?.incarnation === target.incarnation
        && (now - listedAt < maxListAgeMs || now <= target.computeLeaseEnd());
}

function buildListingKey({ id, incarnation }: ListingTarget, task: string): string {
    return JSON.stringify([id, incarnation, task]);
}
