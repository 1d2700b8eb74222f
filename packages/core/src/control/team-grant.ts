/** The part of a team's upper limit that is granted to one holder. */
export interface TeamGrant {
    readonly team: string;
    /** Name and incarnation of the entry, the ingress process. */
    readonly holder: string;
    readonly granted: number;
}
