import * as v from "valibot";

/** Schema of the body of a request to a target that another keeper is asked to send. */
export const relayedRequestSchema = v.object({
    target: v.object({ id: v.string(), address: v.pipe(v.string(), v.regex(/^[^/\s]+:\d{1,5}$/)) }),
    sentAtMs: v.pipe(v.number(), v.finite()),
    request: v.looseObject({ fencingToken: v.pipe(v.number(), v.safeInteger()) }),
    percent: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(100))),
});
