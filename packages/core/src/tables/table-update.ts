import type { TableEdit } from "./table-edit.js";

/** An accepted change, as sent to the copies of the tables. */
export interface TableUpdate {
    readonly revision: number;
    /** Digest of the tables after the change. */
    readonly digest: string;
    readonly edits: readonly TableEdit[];
}
