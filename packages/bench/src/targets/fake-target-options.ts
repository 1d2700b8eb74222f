import type { TargetRun } from "./target-run.js";

/** Options of a fake target. */
export interface FakeTargetOptions {
    readonly vm: string;
    /** Address to listen on for requests, as `host:port`. */
    readonly address: string;
    /** Addresses of the target listeners of the entries in the target's zone. */
    readonly announceTo: readonly string[];
    /** Token that authenticates targets to entries. */
    readonly token: string;
    /** Announced number of requests that can run at once. */
    readonly slots: number;
    /** Returns the service time of a request, milliseconds. */
    readonly pickServiceMs: () => number;
    /** Interval of announcements, milliseconds. Entries may request a longer one. */
    readonly announceMs: number;
    /** Receives each run when it starts; `endedAt` is set later on the same object. */
    readonly recordRun?: ((run: TargetRun) => void) | undefined;
}
