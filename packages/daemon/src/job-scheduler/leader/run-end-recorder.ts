import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";

import type { Clock } from "../../clock/clock.js";
import type { Leadership } from "./leadership.js";

/** Number of ends in a command from which it takes no further ones; a target lists no more at a time. */
const maxCommandEnds = 500;

/** Ends that one command records. */
interface EndBatch {
    readonly ends: TaskEnd[];
    /**
     * Whether each of the ends was recorded, or `undefined` when the command may not have been committed; absent until the
     * command is scheduled.
     */
    recorded: Promise<readonly boolean[] | undefined> | undefined;
}

/** Commits ends of runs: those that arrive until the replicated log takes its next proposals share one command. */
export class RunEndRecorder {
    /** The command that takes further ends. */
    private batch: EndBatch | undefined;

    /**
     * @param leadership - commits the commands
     * @param clock - wall clock
     */
    constructor(private readonly leadership: Pick<Leadership, "scheduleCommand">, private readonly clock: Clock) {}

    /**
     * Commits ends of runs.
     * @param ends - the ends
     * @returns those of these ends that were recorded; `undefined` when they may not have been committed
     */
    async recordEnds(ends: readonly TaskEnd[]): Promise<readonly TaskEnd[] | undefined> {
        const isFull = (this.batch?.ends.length ?? 0) >= maxCommandEnds;
        const batch = this.batch === undefined || isFull ? this.openBatch() : this.batch;
        const first = batch.ends.length;
        ends.forEach(end => batch.ends.push(end));
        batch.recorded ??= this.sendBatch(batch);
        const recorded = await batch.recorded;
        return recorded === undefined ? undefined : ends.filter((_, position) => recorded[first + position] === true);
    }

    private openBatch(): EndBatch {
        this.batch = { ends: [], recorded: undefined };
        return this.batch;
    }

    private async sendBatch(batch: EndBatch): Promise<readonly boolean[] | undefined> {
        const closeBatch = () => {
            this.batch = this.batch === batch ? undefined : this.batch;
        };
        try {
            const recorded = await this.leadership.scheduleCommand(() => {
                closeBatch();
                return { kind: CommandKind.RecordEnds as const, ends: batch.ends, atMs: this.clock.readWall() };
            });
            return recorded === undefined ? undefined : findRecorded(batch.ends, recorded);
        }
        finally {
            // A command that is refused may never have been built.
            closeBatch();
        }
    }
}

/** Tells for each end whether it was recorded. Recorded ends keep their order; of two equal ends, the first is recorded. */
function findRecorded(ends: readonly TaskEnd[], recorded: readonly TaskEnd[]): boolean[] {
    let next = 0;
    return ends.map(end => {
        const other = recorded[next];
        const isRecorded = other !== undefined && other.task === end.task && other.run === end.run
            && other.target === end.target && other.how === end.how && other.saved === end.saved;
        next += isRecorded ? 1 : 0;
        return isRecorded;
    });
}
