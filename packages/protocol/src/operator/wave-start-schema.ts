import * as v from "valibot";

const nameSchema = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/));

/** Schema of a request to start a reboot wave, for some pools, some VMs, or all VMs if neither is given. */
export const waveStartSchema = v.strictObject({
    waveId: nameSchema,
    pools: v.optional(v.array(nameSchema)),
    vms: v.optional(v.array(nameSchema)),
    /** Whether to return only the estimate without starting the wave. */
    isPlanOnly: v.optional(v.boolean(), false),
});
