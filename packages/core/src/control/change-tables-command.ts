import type { TableEdit } from "../tables/table-edit.js";
import type { CommandKind } from "./command-kind.js";

/** Changes the tables atomically: applies all edits or none. */
export interface ChangeTablesCommand {
    readonly kind: CommandKind.ChangeTables;
    /** Idempotency key chosen by the operator: a repeated id returns the stored result. */
    readonly changeId: string;
    /** Table revision on which the change is based; `undefined` accepts any. */
    readonly baseRevision?: number | undefined;
    readonly edits: readonly TableEdit[];
}
