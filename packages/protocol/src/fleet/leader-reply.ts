/** The reply to a call that only the leader answers. */
export type LeaderReply<Value> =
    | { readonly isLeader: true; readonly value: Value }
    | {
        readonly isLeader: false;
        /** Peer address of the leader, where it is known. */
        readonly leader: string | undefined;
        /** Whether the call may have been carried out. */
        readonly mayHaveRun: boolean;
    };
