import type { TargetRun } from "./target-run.js";

/** How a stand-in target is set up. */
export interface FakeTargetOptions {
    readonly vm: string;
    /** Address where it takes requests. */
    readonly address: string;
    /** Target listeners of its zone's entries. */
    readonly announceTo: readonly string[];
    readonly token: string;
    readonly slots: number;
    /** Time that a request takes, milliseconds. */
    readonly pickServiceMs: () => number;
    readonly announceMs: number;
    /** Receives every run when it starts. */
    readonly recordRun?: ((run: TargetRun) => void) | undefined;
}
