import * as v from "valibot";

import { addressSchema } from "../address/address-schema.js";

/** Schema of the reply to any call that only the leader serves; the value depends on the call. */
export const leaderReplySchema = v.variant("isLeader", [
    v.object({ isLeader: v.literal(true), value: v.looseObject({}) }),
    v.object({ isLeader: v.literal(false), leader: v.optional(addressSchema), mayHaveRun: v.boolean() }),
]);
