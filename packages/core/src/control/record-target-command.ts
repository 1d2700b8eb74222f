import type { TargetRecord } from "../targets/target-record.js";
import type { CommandKind } from "./command-kind.js";

/** Records what a target says of itself. */
export interface RecordTargetCommand {
    readonly kind: CommandKind.RecordTarget;
    readonly record: TargetRecord;
}
