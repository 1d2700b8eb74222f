/** The platform did not confirm a request; it may have taken it. */
export interface PlatformFailure {
    /** HTTP status; 0 when there was no answer. */
    readonly status: number;
    readonly detail: string;
}
