import * as v from "valibot";

import { WaveAction } from "./wave-action.js";

/** Schema of an operator's request to control a reboot wave. */
export const waveActionSchema = v.strictObject({
    action: v.enum(WaveAction),
    /** The VM to remove from the wave; for the action give-up only. */
    vm: v.optional(v.string()),
});
