import type { TargetRecord } from "../targets/target-record.js";
import type { CommandKind } from "./command-kind.js";

/** Records the report of a target about itself. */
export interface RecordTargetCommand {
    readonly kind: CommandKind.RecordTarget;
    readonly record: TargetRecord;
}
