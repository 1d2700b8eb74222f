import { addressSchema } from "@daisylock/protocol/address/address-schema.js";
import { targetIdSchema } from "@daisylock/protocol/target/target-id-schema.js";
import * as v from "valibot";

/** Schema of the body of a request to a target that another keeper is asked to send. */
export const relayedRequestSchema = v.object({
    target: v.object({ id: targetIdSchema, address: addressSchema }),
    sentAtMs: v.pipe(v.number(), v.finite()),
    request: v.looseObject({ fencingToken: v.pipe(v.number(), v.safeInteger()) }),
    percent: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(100))),
});
