/** HTTP representation of a reason. */
export interface ProblemDefinition {
    readonly status: number;
    /** Whether a retry with the same request id is safe and may succeed. */
    readonly mayRetry: boolean;
    readonly title: string;
}
