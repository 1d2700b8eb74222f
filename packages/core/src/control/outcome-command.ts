import type { CommandKind } from "./command-kind.js";
import type { DispatchState } from "./dispatch-state.js";
import type { RecordedAnswer } from "./recorded-answer.js";

/** Records how a claimed request ended. */
export interface OutcomeCommand {
    readonly kind: CommandKind.RecordOutcome;
    readonly dispatchId: string;
    readonly attempt: string;
    readonly state: DispatchState.Completed | DispatchState.NotRun;
    readonly answer?: RecordedAnswer | undefined;
}
