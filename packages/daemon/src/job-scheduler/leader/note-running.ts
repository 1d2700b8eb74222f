import type { RunRequestState } from "./run-request-state.js";

/**
 * Records that a target lists a run. The time that it has run is measured on the clock of the target, so that a response
 * that is handled late does not count as time in which the target did not crash.
 * @param request - the leader's request for the run
 * @param clockMs - clock of the target when it listed the run, milliseconds
 * @param probationMs - time after its start for which the run is on probation, milliseconds
 */
export function noteRunning(
    request: Pick<RunRequestState, "confirmedClockMs" | "isSettled">,
    clockMs: number,
    probationMs: number,
): void {
    request.confirmedClockMs ??= clockMs;
    request.isSettled ||= clockMs - request.confirmedClockMs >= probationMs;
}
