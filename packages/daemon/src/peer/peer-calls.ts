import type {
    Empty,
    EventsReply,
    EventsRequest,
    OperateReply,
    OperateRequest,
    ProposeReply,
    ProposeRequest,
    SyncReply,
    SyncRequest,
    TargetsReply,
    TargetsRequest,
} from "@daisylock/protocol/generated/peer.js";
import type { RaftBatch } from "@daisylock/protocol/generated/raft.js";

/** Request and reply types of each gRPC call between processes. */
export interface PeerCalls {
    readonly deliver: { readonly request: RaftBatch; readonly reply: Empty };
    readonly sync: { readonly request: SyncRequest; readonly reply: SyncReply };
    readonly propose: { readonly request: ProposeRequest; readonly reply: ProposeReply };
    readonly operate: { readonly request: OperateRequest; readonly reply: OperateReply };
    readonly readTargets: { readonly request: TargetsRequest; readonly reply: TargetsReply };
    readonly readEvents: { readonly request: EventsRequest; readonly reply: EventsReply };
}
