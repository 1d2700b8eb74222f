import * as v from "valibot";

import { WaveAction } from "./wave-action.js";

/** A request to change a wave. */
export const waveActionSchema = v.strictObject({
    action: v.enum(WaveAction),
    /** The VM to give up. */
    vm: v.optional(v.string()),
});
