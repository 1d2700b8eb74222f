/** Reply to a call that only the leader serves. */
export type LeaderReply<Value> =
    | { readonly isLeader: true; readonly value: Value }
    | {
        readonly isLeader: false;
        /** Peer address of the leader, or `undefined` if it is not known. */
        readonly leader: string | undefined;
        /** Whether the call may have taken effect. */
        readonly mayHaveRun: boolean;
    };
