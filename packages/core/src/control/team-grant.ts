/** The part of a team's upper limit that is granted to one holder. */
export interface TeamGrant {
    readonly team: string;
    /** Name and incarnation of the entry, the ingress process. */
    readonly holder: string;
    /** Number of requests that the holder may run at once for the team. */
    readonly granted: number;
}
