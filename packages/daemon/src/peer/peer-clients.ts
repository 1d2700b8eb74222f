import { PeerClient } from "@daisylock/protocol/generated/peer.js";
import { credentials, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import Result from "true-myth/result";

import type { EventLog } from "../events/event-log.js";
import { encodeHybridTimestamp } from "./encode-hybrid-timestamp.js";
import { MetadataKey } from "./metadata-key.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerFailureKind } from "./peer-failure-kind.js";
import type { PeerFailure } from "./peer-failure.js";

/** Timeouts in a row after which a connection is taken for silent and replaced. */
const maxConsecutiveTimeouts = 2;

const channelOptions = {
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.min_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
    "grpc.keepalive_time_ms": 5_000,
    "grpc.keepalive_timeout_ms": 2_000,
    // Each client has its own connection, so that replacing the client replaces the connection.
    "grpc.use_local_subchannel_pool": 1,
    "grpc.max_receive_message_length": 64 * 1024 * 1024,
};

/** A unary method of the generated client. */
type UnaryCall<Request, Reply> = (
    request: Request,
    metadata: Metadata,
    options: { deadline: number },
    callback: (error: ServiceError | undefined, reply: Reply) => void,
) => unknown;

type CallName = keyof PeerCalls;
type RequestOf<Name extends CallName> = PeerCalls[Name]["request"];
type ReplyOf<Name extends CallName> = PeerCalls[Name]["reply"];

const failureKinds: Partial<Record<status, PeerFailureKind>> = {
    [status.UNAVAILABLE]: PeerFailureKind.Unreachable,
    [status.DEADLINE_EXCEEDED]: PeerFailureKind.TimedOut,
    [status.FAILED_PRECONDITION]: PeerFailureKind.NoLeader,
    [status.UNAUTHENTICATED]: PeerFailureKind.Unauthenticated,
};

/** Calls other processes of the cluster, with one connection an address. */
export class PeerClients {
    private readonly clients = new Map<string, { readonly client: PeerClient; timeouts: number }>();

    /**
     * @param secret - shared secret of the cluster
     * @param events - source of hybrid times
     * @param dial - addresses to dial instead of others
     */
    constructor(
        private readonly secret: string,
        private readonly events: EventLog,
        private readonly dial: Readonly<Record<string, string>>,
    ) {}

    /**
     * Calls a method of another process.
     * @param address - peer address
     * @param name - the method
     * @param request - its request
     * @param timeoutMs - milliseconds to wait for the reply
     * @returns the reply, or how the call failed
     */
    send<Name extends CallName>(
        address: string,
        name: Name,
        request: RequestOf<Name>,
        timeoutMs: number,
    ): Promise<Result<ReplyOf<Name>, PeerFailure>> {
        const slot = this.findOrCreateClient(address);
        const metadata = new Metadata();
        metadata.set(MetadataKey.Secret, this.secret);
        metadata.set(MetadataKey.Time, encodeHybridTimestamp(this.events.readTime()));
        const call = slot.client[name].bind(slot.client) as unknown as UnaryCall<RequestOf<Name>, ReplyOf<Name>>;
        return new Promise(resolve => {
            call(request, metadata, { deadline: Date.now() + timeoutMs }, (error, reply) => {
                if (!(error instanceof Error)) {
                    slot.timeouts = 0;
                    resolve(Result.ok(reply));
                    return;
                }
                this.handleFailure(address, slot, error);
                const kind = failureKinds[error.code] ?? PeerFailureKind.Internal;
                resolve(Result.err({ kind, address, detail: error.details }));
            });
        });
    }

    /** Closes all connections. */
    close(): void {
        for (const { client } of this.clients.values()) {
            client.close();
        }
        this.clients.clear();
    }

    private findOrCreateClient(address: string): { readonly client: PeerClient; timeouts: number } {
        let slot = this.clients.get(address);
        if (slot === undefined) {
            slot = {
                client: new PeerClient(this.dial[address] ?? address, credentials.createInsecure(), channelOptions),
                timeouts: 0,
            };
            this.clients.set(address, slot);
        }
        return slot;
    }

    private handleFailure(address: string, slot: { client: PeerClient; timeouts: number }, error: ServiceError): void {
        slot.timeouts = error.code === status.DEADLINE_EXCEEDED ? slot.timeouts + 1 : 0;
        if (slot.timeouts >= maxConsecutiveTimeouts && this.clients.get(address) === slot) {
            this.clients.delete(address);
            slot.client.close();
        }
    }
}
