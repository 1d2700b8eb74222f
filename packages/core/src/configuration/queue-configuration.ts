import type { AdviceConfiguration } from "./advice-configuration.js";

/** A route that queues jobs for a pool. */
export interface QueueConfiguration {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Name of the pool whose targets run the tasks. */
    readonly pool: string;
    /** 0 comes first. */
    readonly priority: number;
    /** Failed runs after which a task, and with it its job, has failed. */
    readonly maxAttempts: number;
    /** Multiple of the longest chain of work that a job may take and still be on time. */
    readonly stretch: number;
    /** Milliseconds that a job may take beyond `stretch` times its chain. */
    readonly objectiveMs: number;
    /** Longest time that a caller's request may take, milliseconds. */
    readonly timeoutMs: number;
    /** Whether no key is needed. */
    readonly isPublic: boolean;
    readonly advice: AdviceConfiguration | undefined;
}
