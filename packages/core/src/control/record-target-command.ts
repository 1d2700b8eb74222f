import type { TargetCrash } from "../crashes/target-crash.js";
import type { TargetRecord } from "../targets/target-record.js";
import type { CommandKind } from "./command-kind.js";

/** Records what a target reports about itself, unless the report is of an older incarnation. */
export interface RecordTargetCommand {
    readonly kind: CommandKind.RecordTarget;
    readonly record: TargetRecord;
    /** Number of the report, which increases within an incarnation. */
    readonly sequence?: number;
    /** Reading of the target's clock in the report, milliseconds. */
    readonly clockMs?: number | undefined;
    /** Whether an answer of the target bears the report out, so that it holds whatever an unproven record says. */
    readonly isVerified?: boolean | undefined;
    /** What the leader knows of runs on incarnations that this one replaces and that have crashed. */
    readonly crashes?: readonly TargetCrash[];
    /** Wall clock of the leader, milliseconds. */
    readonly atMs?: number;
}
