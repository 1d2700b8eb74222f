import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import * as v from "valibot";

import { TargetRequestKind } from "../targets/target-request-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";

const response = v.object({
    result: v.enum(TargetRequestResult),
    clockMs: v.optional(v.pipe(v.number(), v.finite())),
});
const runningTask = v.object({
    task: v.string(),
    run: v.number(),
    saved: v.string(),
    percent: v.number(),
    load: v.number(),
});
const endedRun = v.object({
    number: v.number(),
    task: v.string(),
    run: v.number(),
    how: v.enum(RunOutcome),
    saved: v.string(),
});

/** Schemas of a target's response to a request, as a relay returns it, by the kind of the request. */
export const relayedResponseSchemas: Readonly<Record<TargetRequestKind, v.GenericSchema<object>>> = {
    [TargetRequestKind.Start]: response,
    [TargetRequestKind.Stop]: response,
    [TargetRequestKind.Pace]: response,
    [TargetRequestKind.Check]: response,
    [TargetRequestKind.Renew]: v.object({
        ...response.entries,
        incarnation: v.optional(v.pipe(v.number(), v.finite())),
        running: v.array(runningTask),
        ended: v.array(endedRun),
        /** Absent in responses of relays of earlier versions. */
        areAllEndsListed: v.optional(v.boolean()),
    }),
};
