import { PeerClient } from "@daisylock/protocol/generated/peer.js";
import { credentials, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import Result from "true-myth/result";

import type { EventLog } from "../events/event-log.js";
import { encodeHybridTimestamp } from "./encode-hybrid-timestamp.js";
import { MetadataKey } from "./metadata-key.js";
import type { PeerCalls } from "./peer-calls.js";
import { PeerFailureKind } from "./peer-failure-kind.js";
import type { PeerFailure } from "./peer-failure.js";

/** Consecutive timeouts after which a connection is considered half-open and replaced. */
const maxConsecutiveTimeouts = 2;

const channelOptions = {
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.min_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
    "grpc.keepalive_time_ms": 5_000,
    "grpc.keepalive_timeout_ms": 2_000,
    // Gives each client its own connection, so that replacing the client replaces the connection.
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

/** gRPC clients for the other processes of the cluster, with one connection for each address. */
export class PeerClients {
    private readonly clients = new Map<string, { readonly client: PeerClient; consecutiveTimeouts: number }>();

    /**
     * @param secret - shared secret of the cluster
     * @param events - source of hybrid timestamps
     * @param dial - maps a peer address to the address to dial in its place, for zones connected by address
     * translation
     */
    constructor(
        private readonly secret: string,
        private readonly events: EventLog,
        private readonly dial: Readonly<Record<string, string>>,
    ) {}

    /**
     * Calls a method of another process.
     * @param address - peer address of the process
     * @param name - name of the method
     * @param request - request message
     * @param timeoutMs - time limit for the reply, milliseconds
     * @returns the reply, or why the call failed
     */
    send<Name extends CallName>(
        address: string,
        name: Name,
        request: RequestOf<Name>,
        timeoutMs: number,
    ): Promise<Result<ReplyOf<Name>, PeerFailure>> {
        const connection = this.findOrCreateClient(address);
        const metadata = new Metadata();
        metadata.set(MetadataKey.Secret, this.secret);
        metadata.set(MetadataKey.Time, encodeHybridTimestamp(this.events.readTime()));
        const call = connection.client[name].bind(connection.client) as unknown as UnaryCall<
            RequestOf<Name>,
            ReplyOf<Name>
        >;
        return new Promise(resolve => {
            call(request, metadata, { deadline: Date.now() + timeoutMs }, (error, reply) => {
                if (!(error instanceof Error)) {
                    connection.consecutiveTimeouts = 0;
                    resolve(Result.ok(reply));
                    return;
                }
                this.handleFailure(address, connection, error);
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

    private findOrCreateClient(address: string): { readonly client: PeerClient; consecutiveTimeouts: number } {
        let connection = this.clients.get(address);
        if (connection === undefined) {
            connection = {
                client: new PeerClient(this.dial[address] ?? address, credentials.createInsecure(), channelOptions),
                consecutiveTimeouts: 0,
            };
            this.clients.set(address, connection);
        }
        return connection;
    }

    private handleFailure(
        address: string,
        connection: { client: PeerClient; consecutiveTimeouts: number },
        error: ServiceError,
    ): void {
        connection.consecutiveTimeouts = error.code === status.DEADLINE_EXCEEDED
            ? connection.consecutiveTimeouts + 1
            : 0;
        if (connection.consecutiveTimeouts >= maxConsecutiveTimeouts && this.clients.get(address) === connection) {
            this.clients.delete(address);
            connection.client.close();
        }
    }
}
