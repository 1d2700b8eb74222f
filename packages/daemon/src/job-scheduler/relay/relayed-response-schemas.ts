import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import * as v from "valibot";

import { TargetRequestKind } from "../targets/target-request-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";

const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const finite = v.pipe(v.number(), v.finite());
/** Largest number of ended runs in one response; a target lists 500 at a time. */
const maxEndedRuns = 5_000;

const response = v.object({
    result: v.enum(TargetRequestResult),
    clockMs: v.optional(v.pipe(finite, v.minValue(0), v.maxValue(Number.MAX_SAFE_INTEGER))),
});
const runningTask = v.object({
    task: v.string(),
    run: whole,
    saved: v.string(),
    percent: finite,
    load: finite,
});
const endedRun = v.object({
    number: whole,
    task: v.string(),
    run: whole,
    how: v.enum(RunOutcome),
    saved: v.string(),
});

/** Schemas of a target's response to a request, as a relay returns it, by the kind of the request. */
export const relayedResponseSchemas: Readonly<Record<TargetRequestKind, v.GenericSchema<object>>> = {
    [TargetRequestKind.Start]: response,
    [TargetRequestKind.Stop]: response,
    [TargetRequestKind.Pace]: response,
    [TargetRequestKind.Check]: v.object({ ...response.entries, incarnation: v.optional(whole) }),
    [TargetRequestKind.Renew]: v.object({
        ...response.entries,
        incarnation: v.optional(whole),
        running: v.optional(v.array(runningTask)),
        ended: v.pipe(v.array(endedRun), v.maxLength(maxEndedRuns)),
        /** Absent in responses of relays of earlier versions. */
        areAllEndsListed: v.optional(v.boolean()),
    }),
};
