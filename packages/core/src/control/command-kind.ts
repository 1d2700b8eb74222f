/** The kinds of command in the replicated log. */
export enum CommandKind {
    ChangeTables = "change-tables",
    RecordDispatch = "record-dispatch",
    RecordOutcome = "record-outcome",
    SetGrants = "set-grants",
    StartWave = "start-wave",
    StepWave = "step-wave",
}
