import * as v from "valibot";

import { addressSchema } from "../address/address-schema.js";

const maxRunning = 1_024;

/** Schema of the announcement by which a target registers and reports its state. */
export const announcementSchema = v.strictObject({
    /** IP address and port at which the target accepts requests. */
    address: addressSchema,
    /** Increases with each start of the target. Announcements with a lower number than the latest are outdated. */
    incarnation: v.pipe(v.number(), v.integer(), v.minValue(1)),
    /** Number of requests that the target can run at the same time. */
    slots: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(4_096)),
    state: v.picklist(["ready", "leaving"]),
    /** The requests that the target is running, each with its dispatch id and team. */
    running: v.pipe(
        v.array(v.strictObject({ dispatch: v.pipe(v.string(), v.maxLength(200)), team: v.string() })),
        v.maxLength(maxRunning),
    ),
});
