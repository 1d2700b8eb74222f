import { StalledTaskRegistry } from "../leader/stalled-task-registry.js";
import type { TargetSessions } from "../leader/target-sessions.js";

type SessionsDependencies = ConstructorParameters<typeof TargetSessions>[0];

/**
 * Builds the dependencies of sessions that a test does not look at: services that know nothing and callbacks that do
 * nothing.
 * @returns the dependencies without leadership, client, reports and clock
 */
export function buildQuietSessionDependencies(): Omit<
    SessionsDependencies,
    "leadership" | "client" | "reports" | "clock"
> {
    return {
        log: { record: () => undefined },
        maxLeaseMs: 6_000,
        readUtilization: () => 0,
        findTargetEnding: () => undefined,
        noteEnds: () => undefined,
        stalledTasks: new StalledTaskRegistry(),
        mayEjectSlow: () => true,
        estimateTask: () => 500,
        findTicket: () => "",
        handleRejectedTicket: () => undefined,
        handleUnansweredRequest: () => undefined,
        startScheduling: () => undefined,
        noteRunBegun: () => undefined,
        handleRunEnd: () => undefined,
    };
}
