import type { ChangeResult } from "./change-result.js";

/** The stored result of a change of the tables, returned again when the change is repeated. */
export interface ChangeRecord {
    /** Digest of the base revision and the edits, which detects a reused change id. */
    readonly contentDigest: string;
    readonly result: ChangeResult;
}
