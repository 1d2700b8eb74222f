/** How a reason is shown to callers. */
export interface ProblemDefinition {
    readonly status: number;
    /** Whether sending the same request again, with the same id, is safe and may help. */
    readonly mayRetry: boolean;
    readonly title: string;
}
