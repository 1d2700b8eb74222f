import * as v from "valibot";

const nameSchema = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/));

/** A request to start a wave: of pools, of VMs, or of everything. */
export const waveStartSchema = v.strictObject({
    waveId: nameSchema,
    pools: v.optional(v.array(nameSchema)),
    vms: v.optional(v.array(nameSchema)),
    /** Whether only the estimate is wanted. */
    isPlanOnly: v.optional(v.boolean(), false),
});
