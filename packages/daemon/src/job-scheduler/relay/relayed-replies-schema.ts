import * as v from "valibot";

/**
 * Schema of a batch of replies: number of the request and status. The response of the target follows, if any, and is checked
 * by the kind of the request.
 */
export const relayedRepliesSchema = v.array(v.looseTuple([v.number(), v.number()]));
