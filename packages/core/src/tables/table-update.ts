import type { TableEdit } from "./table-edit.js";

/** An accepted change in the form in which copies of the tables receive it. */
export interface TableUpdate {
    readonly revision: number;
    /** Digest of the tables after the change. */
    readonly digest: string;
    readonly edits: readonly TableEdit[];
}
