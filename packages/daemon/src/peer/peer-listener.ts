import { PeerService } from "@daisylock/protocol/generated/peer.js";
import {
    Metadata,
    type sendUnaryData,
    Server,
    ServerCredentials,
    type ServerUnaryCall,
    status,
    type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { createHash, timingSafeEqual } from "node:crypto";
import type Result from "true-myth/result";

import type { Clock } from "../clock/clock.js";
import { Mailbox } from "../concurrency/mailbox.js";
import { waitFor } from "../concurrency/wait-for.js";
import type { EventLog } from "../events/event-log.js";
import { Worker } from "../supervision/worker.js";
import { decodeHybridTimestamp } from "./decode-hybrid-timestamp.js";
import { ListenFailure } from "./listen-failure.js";
import { MetadataKey } from "./metadata-key.js";
import { PeerFailureKind } from "./peer-failure-kind.js";
import type { PeerFailure } from "./peer-failure.js";
import type { PeerHandlers } from "./peer-handlers.js";

type UntypedHandler = (request: unknown) => Promise<Result<unknown, PeerFailure>>;

const grpcStatuses: Record<PeerFailureKind, status> = {
    [PeerFailureKind.Unreachable]: status.UNAVAILABLE,
    [PeerFailureKind.TimedOut]: status.DEADLINE_EXCEEDED,
    [PeerFailureKind.NoLeader]: status.FAILED_PRECONDITION,
    [PeerFailureKind.Unauthenticated]: status.UNAUTHENTICATED,
    [PeerFailureKind.Internal]: status.INTERNAL,
};

/** gRPC server for calls from other processes of the cluster. */
export class PeerListener extends Worker {
    override readonly name = "peer-listener";
    private readonly mailbox = new Mailbox<never>(1);
    private readonly secretDigest: Buffer;

    /**
     * @param address - IP address and port to listen on
     * @param secret - shared secret of the cluster
     * @param handlers - handlers of the calls that this process serves
     * @param clock - local wall clock, to which senders' hybrid timestamps are compared
     * @param events - holds the hybrid clock that senders' timestamps advance
     */
    constructor(
        private readonly address: string,
        secret: string,
        private readonly handlers: PeerHandlers,
        private readonly clock: Clock,
        private readonly events: EventLog,
    ) {
        super();
        this.secretDigest = computeDigest(secret);
    }

    override *run(): Generator<unknown, void, unknown> {
        const server = new Server({ "grpc.max_receive_message_length": 64 * 1024 * 1024 });
        server.addService(PeerService, this.buildImplementation());
        yield* waitFor(startServer(server, this.address));
        yield* this.mailbox.take();
        server.forceShutdown();
    }

    override stop(): void {
        this.mailbox.close();
    }

    private buildImplementation(): UntypedServiceImplementation {
        const names = Object.keys(PeerService) as (keyof typeof PeerService)[];
        return Object.fromEntries(names.map(name => [name, this.buildMethod(this.handlers[name] as UntypedHandler)]));
    }

    private buildMethod(handler: UntypedHandler | undefined) {
        return (call: ServerUnaryCall<unknown, unknown>, callback: sendUnaryData<unknown>): void => {
            if (!this.isSecretValid(call.metadata)) {
                callback({ code: status.UNAUTHENTICATED, details: "cluster secret differs" });
                return;
            }
            this.mergeTime(call.metadata);
            if (handler === undefined) {
                callback({ code: status.UNIMPLEMENTED, details: "not a role of this process" });
                return;
            }
            handler(call.request).then(
                result =>
                    result.match({
                        Ok: reply => callback(null, reply),
                        Err: failure => callback({ code: grpcStatuses[failure.kind], details: failure.detail }),
                    }),
                (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
            );
        };
    }

    private isSecretValid(metadata: Metadata): boolean {
        const [presented] = metadata.get(MetadataKey.Secret);
        return timingSafeEqual(computeDigest(String(presented)), this.secretDigest);
    }

    private mergeTime(metadata: Metadata): void {
        const [text] = metadata.get(MetadataKey.Time);
        const time = decodeHybridTimestamp(String(text), this.clock.readWall());
        if (time !== undefined) {
            this.events.mergeTime(time);
        }
    }
}

function computeDigest(secret: string): Buffer {
    return createHash("sha256").update(secret).digest();
}

function startServer(server: Server, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
        server.bindAsync(address, ServerCredentials.createInsecure(), error => {
            if (error === null) {
                resolve();
            }
            else {
                reject(new ListenFailure(address, error.message));
            }
        });
    });
}
