import type { CommandKind } from "./command-kind.js";

/** Records that the maintenance of a VM has begun, or that the VM is no more. */
export interface RecordMaintenanceCommand {
    readonly kind: CommandKind.RecordMaintenance;
    readonly wave: number;
    readonly vm: string;
}
