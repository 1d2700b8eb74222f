import * as v from "valibot";

const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/));

/** A request to start a wave: of pools, of VMs, or of everything. */
export const waveStartSchema = v.strictObject({
    waveId: name,
    pools: v.optional(v.array(name)),
    vms: v.optional(v.array(name)),
    /** Whether only the estimate is wanted. */
    isPlanOnly: v.optional(v.boolean(), false),
});
