import type { ClaimResult } from "@daisylock/core/control/claim-result.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { DispatchState } from "@daisylock/core/control/dispatch-state.js";
import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import { createHash, randomUUID } from "node:crypto";
import Result from "true-myth/result";

import type { Clock } from "../../../clock/clock.js";
import type { FaultListener } from "../../../containment/fault-listener.js";
import { startContained } from "../../../containment/start-contained.js";
import { WorkKind } from "../../../containment/work-kind.js";
import type { PeerFailure } from "../../../peer/peer-failure.js";
import type { LeaderRpcClient } from "../../leader-client/leader-rpc-client.js";
import type { CallerRequest } from "./caller-request.js";
import type { Claim } from "./claim.js";

const claimTimeoutMs = 3_000;
const outcomeTimeoutMs = 15_000;

/**
 * Records unrepeatable requests with the keepers, the replicas of the control plane: the claim before the first byte is
 * sent to a target, and the outcome afterwards.
 */
export class DispatchRecorder {
    /**
     * @param leaderClient - client for commands to the leader
     * @param clock - wall time for the retention of records, monotonic time for deadlines
     * @param noteFault - called with each fault of recording an outcome
     */
    constructor(
        private readonly leaderClient: LeaderRpcClient,
        private readonly clock: Clock,
        private readonly noteFault: FaultListener,
    ) {}

    /**
     * Claims an unrepeatable request.
     * @param team - team of the request
     * @param request - the request
     * @param content - its body; `undefined` when the body is streamed
     * @returns the claim and its result, or why the command failed
     */
    async sendClaim(
        team: string,
        request: CallerRequest,
        content: Buffer | undefined,
    ): Promise<Result<{ claim: Claim; result: ClaimResult }, PeerFailure>> {
        const claim: Claim = { dispatchId: `${team}/${request.route}/${request.id}`, attempt: randomUUID() };
        const leftMs = request.deadlineAt - this.clock.readMonotonic();
        const reply = await this.leaderClient.sendCommand({
            kind: CommandKind.RecordDispatch,
            ...claim,
            fingerprint: computeFingerprint(request, content),
            at: this.clock.readWall(),
        }, Math.max(1, Math.min(claimTimeoutMs, leftMs)));
        return reply.map(result => ({ claim, result }));
    }

    /**
     * Records the outcome of a claimed request, without waiting for the commit. Until the commit, callers that retry are
     * told that the request may have run.
     * @param claim - the claim
     * @param state - whether the request completed or did not run
     * @param response - response of the target, if there is one
     */
    sendOutcome(
        claim: Claim,
        state: DispatchState.Completed | DispatchState.NotRun,
        response: RecordedResponse | undefined,
    ): void {
        const command = { kind: CommandKind.RecordOutcome, ...claim, state, answer: response } as const;
        startContained(
            this.noteFault,
            { work: WorkKind.PeerCall, subject: claim.dispatchId },
            () => this.leaderClient.sendCommand(command, outcomeTimeoutMs),
        );
    }
}

/** Computes a digest that tells whether a repeated id belongs to the same request; a streamed body is not included. */
function computeFingerprint(request: CallerRequest, content: Buffer | undefined): string {
    const hash = createHash("sha256").update(`${request.method}\n${request.path}\n${request.bodyBytes ?? "chunked"}\n`);
    return hash.update(content ?? "").digest("hex").slice(0, 32);
}
