import type { AdviceConfiguration } from "./advice-configuration.js";

/** A route that queues jobs for a pool. */
export interface QueueConfiguration {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Name of the pool whose targets run the tasks. */
    readonly pool: string;
    /** Lower values start first; 0 is the highest priority. */
    readonly priority: number;
    /** Failed runs after which a task, and with it the job, fails. */
    readonly maxAttempts: number;
    /** Factor of the deadline: a job is on time within `stretch` times its critical path plus `objectiveMs`. */
    readonly stretch: number;
    /** Constant part of the deadline; see `stretch`. */
    readonly objectiveMs: number;
    /** Maximum duration of a caller's request. */
    readonly timeoutMs: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Settings of the placement adviser; `undefined` if the queue has none. */
    readonly advice: AdviceConfiguration | undefined;
}
