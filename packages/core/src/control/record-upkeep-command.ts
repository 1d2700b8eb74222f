import type { CommandKind } from "./command-kind.js";

/** Records that the maintenance of a VM has begun, or that the VM is no more. */
export interface RecordUpkeepCommand {
    readonly kind: CommandKind.RecordUpkeep;
    readonly wave: number;
    readonly vm: string;
}
