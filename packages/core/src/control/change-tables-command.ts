import type { TableEdit } from "../tables/table-edit.js";
import type { CommandKind } from "./command-kind.js";

/** Changes the tables as a whole or not at all. */
export interface ChangeTablesCommand {
    readonly kind: CommandKind.ChangeTables;
    /** Chosen by the operator; the same id again gets the same answer. */
    readonly changeId: string;
    /** Table revision on which the change is based; `undefined` accepts any. */
    readonly baseRevision?: number | undefined;
    readonly edits: readonly TableEdit[];
}
