/** Failure of the platform to confirm a request, which it may nevertheless have accepted. */
export interface PlatformFailure {
    /** HTTP status; 0 when there was no response. */
    readonly status: number;
    readonly detail: string;
}
