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
/** Maximum number of times that one call is forwarded; the limit ends forwarding loops. */
const maxHops = 3;

/** Components of the process that serve calls from other processes. */
interface PeerHandlerDependencies {
    readonly processContext: ProcessContext;
    readonly keeperComponents: KeeperComponents | undefined;
    readonly registry: TargetRegistry | undefined;
    readonly localRequests: LocalRequestHandler;
}

/**
 * Builds the handlers of the calls that other processes make to this one. Calls that only the leader can handle are
 * forwarded to it.
 * @param dependencies - components of the process; `undefined` for a role that it does not have
 * @returns the handlers by call
 */
export function buildPeerHandlers(dependencies: PeerHandlerDependencies): Required<PeerHandlers> {
    const { processContext, keeperComponents, registry, localRequests } = dependencies;
    const relay = new LeaderRelay(processContext, keeperComponents);
    return {
        deliver: async batch => {
            keeperComponents?.keeper.receive(decodeRaftMessages(batch), batch.fromAddress);
            return Result.ok({});
        },
        sync: async request => {
            const reply = keeperComponents?.allocator.handleSync(request);
            return reply === undefined ? relay.forward("sync", request) : Result.ok(reply);
        },
        propose: async request => {
            const result = await keeperComponents?.keeper.sendCommand(JSON.parse(request.command) as ControlCommand);
            if (result === undefined || (result.isErr && result.error.kind === ProposeFailureKind.NotLeader)) {
                return relay.forward("propose", request);
            }
            return result
                .map(value => ({ result: JSON.stringify(value) }))
                .mapErr(error => buildFailure(PeerFailureKind.TimedOut, error.kind));
        },
        operate: request => handleOperate(dependencies, relay, request),
        readTargets: async request => Result.ok(readTargets(processContext, registry, request.vms)),
        readEvents: async ({ sinceMs, limit }) => {
            const events = processContext.events.listSince(sinceMs, limit).map(event => JSON.stringify(event));
            return Result.ok({
                process: processContext.settings.node.name,
                events,
                dropped: processContext.events.countDropped(),
            });
        },
    };

    async function handleOperate(
        { processContext, keeperComponents }: PeerHandlerDependencies,
        relay: LeaderRelay,
        request: OperateRequest,
    ): Promise<Result<OperateReply, PeerFailure>> {
        const reply = await localRequests.handle(request)
            ?? (keeperComponents === undefined
                ? undefined
                : await handleOperatorRequest({ ...keeperComponents, ...processContext }, request));
        return reply === undefined ? relay.forward("operate", request) : Result.ok(reply);
    }
}

function buildFailure(kind: PeerFailureKind, detail: string): PeerFailure {
    return { kind, address: "", detail };
}

function readTargets(
    processContext: ProcessContext,
    registry: TargetRegistry | undefined,
    vms: readonly string[],
): TargetsReply {
    const now = processContext.clock.readMonotonic();
    const targets = vms.flatMap(vm => {
        const registration = registry?.find(vm);
        if (registration === undefined) {
            return [];
        }
        const { incarnation, reportedAt, running } = registration;
        return [{ vm, incarnation, ageMs: now - reportedAt, running: [...running.keys()] }];
    });
    return { targets };
}

/** Forwards calls: a keeper sends them to the leader, a process without a keeper to any reachable keeper or entry. */
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
        const { clients, leaderClient, settings } = this.processContext;
        const forwarded = { ...request, hops: request.hops + 1 };
        if (this.keeperComponents === undefined) {
            return leaderClient.sendOnce(name, forwarded, forwardTimeoutMs) as Promise<Result<never, PeerFailure>>;
        }
        const address = this.keeperComponents.keeper.readView()?.leaderAddress;
        if (address === undefined || address === settings.listen.peers) {
            return Result.err(buildFailure(PeerFailureKind.NoLeader, "no leader is known here"));
        }
        return clients.send(address, name, forwarded, forwardTimeoutMs) as Promise<Result<never, PeerFailure>>;
    }
}
