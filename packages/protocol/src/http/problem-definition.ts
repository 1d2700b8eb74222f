/** How the reason of a refusal or an unknown outcome is represented in an HTTP response. */
export interface ProblemDefinition {
    readonly status: number;
    /** Whether a retry with the same request id is safe and may succeed. */
    readonly mayRetry: boolean;
    readonly title: string;
}
