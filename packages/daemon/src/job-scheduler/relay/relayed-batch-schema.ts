import * as v from "valibot";

/** Schema of a batch of requests to targets: number, kind and body of each, of which kind and body are checked apart. */
export const relayedBatchSchema = v.array(v.tuple([v.pipe(v.number(), v.safeInteger()), v.string(), v.unknown()]));
