import type { CommandKind } from "./command-kind.js";

/** Records that the maintenance of a VM has started, or that the VM no longer exists. */
export interface RecordMaintenanceCommand {
    readonly kind: CommandKind.RecordMaintenance;
    /** Number of the maintenance wave. */
    readonly wave: number;
    readonly vm: string;
}
