/** What the leader knows of runs that are on probation, that is, too young to tell whether they crash their target. */
export interface ProbationView {
    /** Whether a run that is recorded on a target is on probation. */
    readonly isOnProbation: (task: string, run: number, target: string) => boolean;
    /** Counts the runs on a target that are on probation. */
    readonly countOnProbation: (target: string) => number;
    /** Called for each target that is kept for suspects while runs on it are on probation. */
    readonly noteKept: (target: string) => void;
}
