import type { ChangeResult } from "./change-result.js";

/** The remembered answer to a change id. */
export interface ChangeRecord {
    readonly contentDigest: string;
    readonly result: ChangeResult;
}
