import * as v from "valibot";

const maxRunning = 1_024;

/** What a target announces of itself. */
export const announcementSchema = v.strictObject({
    /** IP number and port at which it takes requests. */
    address: v.pipe(v.string(), v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i)),
    /** Counts its starts; a higher one replaces a lower one. */
    incarnation: v.pipe(v.number(), v.integer(), v.minValue(1)),
    slots: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(4_096)),
    state: v.picklist(["ready", "leaving"]),
    /** The dispatches that it runs now. */
    running: v.pipe(
        v.array(v.strictObject({ dispatch: v.pipe(v.string(), v.maxLength(200)), team: v.string() })),
        v.maxLength(maxRunning),
    ),
});
