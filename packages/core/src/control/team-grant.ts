/** How much of a team's upper limit one holder may use. */
export interface TeamGrant {
    readonly team: string;
    /** Entry and incarnation. */
    readonly holder: string;
    readonly granted: number;
}
