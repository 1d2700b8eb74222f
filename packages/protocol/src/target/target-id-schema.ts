import * as v from "valibot";

const maxLength = 256;

/** Schema of a target's id, which is sent in a header of each request to the target. */
export const targetIdSchema = v.pipe(
    v.string(),
    v.maxLength(maxLength),
    v.regex(/^[\x21-\x7e]+$/, "expected printable ASCII characters without spaces"),
);
