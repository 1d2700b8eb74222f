/** What the leader knows of runs that are on probation, that is, too young to tell whether they crash their target. */
export interface ProbationView {
    /** Whether a run that is recorded on a target is on probation. */
    readonly isOnProbation: (task: string, run: number, target: string) => boolean;
    /** Finds the target on which a start of the task is proposed but not committed yet. */
    readonly findStartTarget: (task: string) => string | undefined;
    /** Counts the runs on a target that are on probation, with the starts that are not committed yet. */
    readonly countOnProbation: (target: string) => number;
    /** Called for each target that is kept for suspects while runs on it are on probation. */
    readonly noteKept: (target: string) => void;
}
