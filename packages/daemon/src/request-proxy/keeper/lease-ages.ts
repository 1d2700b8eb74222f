/** How old what the leader lease rests on is, milliseconds; `undefined` for what has not happened. */
export interface LeaseAges {
    /** Since the latest message that a quorum of voters has acknowledged was sent. */
    readonly quorumMs: number | undefined;
    /** Since a suspension of the machine was last detected. */
    readonly resumeMs: number | undefined;
}
