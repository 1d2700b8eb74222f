import type { TargetRecord } from "../targets/target-record.js";
import type { CommandKind } from "./command-kind.js";

/** Records what a target reports about itself, unless the report is of an older incarnation. */
export interface RecordTargetCommand {
    readonly kind: CommandKind.RecordTarget;
    readonly record: TargetRecord;
}
