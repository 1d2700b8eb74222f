import * as v from "valibot";

import { tableEditSchema } from "./table-edit-schema.js";

const maxEdits = 10_000;

/** Schema of an operator's request to change the tables. */
export const changeSchema = v.strictObject({
    changeId: v.pipe(v.string(), v.regex(/^[A-Za-z0-9._-]{8,64}$/, "expected 8 to 64 letters, digits, . _ -")),
    baseRevision: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0))),
    edits: v.pipe(v.array(tableEditSchema), v.minLength(1), v.maxLength(maxEdits)),
});
