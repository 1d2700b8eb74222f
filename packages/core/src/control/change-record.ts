import type { ChangeResult } from "./change-result.js";

/** The stored result of a change, returned again for the same change id. */
export interface ChangeRecord {
    /** Digest of the base revision and the edits, which detects a reused change id. */
    readonly contentDigest: string;
    readonly result: ChangeResult;
}
