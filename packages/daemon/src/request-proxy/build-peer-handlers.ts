import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { OperateReply, OperateRequest, TargetsReply } from "@daisylock/protocol/generated/peer.js";
import { decodeRaftMessages } from "@daisylock/protocol/peer/decode-raft-messages.js";
import Result from "true-myth/result";

import { PeerFailureKind } from "../peer/peer-failure-kind.js";
import type { PeerFailure } from "../peer/peer-failure.js";
import type { PeerHandlers } from "../peer/peer-handlers.js";
import type { TargetRegistry } from "./entry/targets/target-registry.js";
import type { KeeperComponents } from "./keeper/keeper-components.js";
import { handleOperatorRequest } from "./keeper/operator-api/handle-operator-request.js";
import { ProposeFailureKind } from "./keeper/propose-failure-kind.js";
import type { LocalRequestHandler } from "./operator/local-request-handler.js";
import type { ProcessContext } from "./process-context.js";

const forwardTimeoutMs = 1_000;
/** Times that a call may be passed on. */
const maxHops = 3;

/** The parts of the process that other processes may call. */
interface PeerHandlerDependencies {
    readonly processContext: ProcessContext;
    readonly keeperComponents: KeeperComponents | undefined;
    readonly registry: TargetRegistry | undefined;
    readonly localRequests: LocalRequestHandler;
}

/**
 * Builds what this process does for others. What only the leader may answer is passed on to it.
 * @param source - the parts of the process
 * @returns the handlers by call
 */
export function buildPeerHandlers(source: PeerHandlerDependencies): Required<PeerHandlers> {
    const { processContext: parts, keeperComponents: keeperPart, registry, localRequests: local } = source;
    const relay = new LeaderRelay(parts, keeperPart);
    return {
        deliver: async batch => {
            keeperPart?.keeper.receive(decodeRaftMessages(batch), batch.fromAddress);
            return Result.ok({});
        },
        sync: async request => {
            const reply = keeperPart?.allocator.handleSync(request);
            return reply === undefined ? relay.forward("sync", request) : Result.ok(reply);
        },
        propose: async request => {
            const result = await keeperPart?.keeper.sendCommand(JSON.parse(request.command) as ControlCommand);
            if (result === undefined || (result.isErr && result.error.kind === ProposeFailureKind.NotLeader)) {
                return relay.forward("propose", request);
            }
            return result
                .map(value => ({ result: JSON.stringify(value) }))
                .mapErr(error => buildFailure(PeerFailureKind.TimedOut, error.kind));
        },
        operate: request => runAnyOperate(source, relay, request),
        readTargets: async request => Result.ok(readTargets(parts, registry, request.vms)),
        readEvents: async ({ sinceMs, limit }) => {
            const events = parts.events.listSince(sinceMs, limit).map(event => JSON.stringify(event));
            return Result.ok({ process: parts.settings.node.name, events, dropped: parts.events.countDropped() });
        },
    };

    async function runAnyOperate(
        { processContext: parts, keeperComponents: keeperPart }: PeerHandlerDependencies,
        relay: LeaderRelay,
        request: OperateRequest,
    ): Promise<Result<OperateReply, PeerFailure>> {
        const here = await local.handle(request)
            ?? (keeperPart === undefined
                ? undefined
                : await handleOperatorRequest({ ...keeperPart, ...parts }, request));
        return here === undefined ? relay.forward("operate", request) : Result.ok(here);
    }
}

function buildFailure(kind: PeerFailureKind, detail: string): PeerFailure {
    return { kind, address: "", detail };
}

function readTargets(
    parts: ProcessContext,
    registry: TargetRegistry | undefined,
    vms: readonly string[],
): TargetsReply {
    const now = parts.clock.readMonotonic();
    const targets = vms.flatMap(vm => {
        const registration = registry?.find(vm);
        if (registration === undefined) {
            return [];
        }
        const { incarnation, heardAt, running } = registration;
        return [{ vm, incarnation, ageMs: now - heardAt, running: [...running.keys()] }];
    });
    return { targets };
}

/** Passes calls on to the leader, or from an entry to a keeper. */
class LeaderRelay {
    constructor(
        private readonly processContext: ProcessContext,
        private readonly keeperComponents: KeeperComponents | undefined,
    ) {}

    async forward<Name extends "sync" | "propose" | "operate">(
        name: Name,
        request: Parameters<ProcessContext["leaderClient"]["sendOnce"]>[1] & { hops: number },
    ): Promise<Result<never, PeerFailure>> {
        if (request.hops >= maxHops) {
            return Result.err(buildFailure(PeerFailureKind.NoLeader, "passed on too often"));
        }
        const { clients, leaderClient: control, settings } = this.processContext;
        const next = { ...request, hops: request.hops + 1 };
        if (this.keeperComponents === undefined) {
            return control.sendOnce(name, next, forwardTimeoutMs) as Promise<Result<never, PeerFailure>>;
        }
        const address = this.keeperComponents.keeper.readView()?.leaderAddress;
        if (address === undefined || address === settings.listen.peers) {
            return Result.err(buildFailure(PeerFailureKind.NoLeader, "no leader is known here"));
        }
        return clients.send(address, name, next, forwardTimeoutMs) as Promise<Result<never, PeerFailure>>;
    }
}
