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
    /** Multiple of the length of its critical path that a job may take and still be on time. */
    readonly stretch: number;
    /** Time that a job may take beyond `stretch` times the length of its critical path. */
    readonly objectiveMs: number;
    /** Maximum duration of a caller's request. */
    readonly timeoutMs: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Settings of the placement adviser; `undefined` if the queue has none. */
    readonly advice: AdviceConfiguration | undefined;
}
