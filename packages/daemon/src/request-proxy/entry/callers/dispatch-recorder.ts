import type { ClaimResult } from "@daisylock/core/control/claim-result.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { DispatchState } from "@daisylock/core/control/dispatch-state.js";
import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import { createHash, randomUUID } from "node:crypto";
import Result from "true-myth/result";

import type { Clock } from "../../../clock/clock.js";
import type { PeerFailure } from "../../../peer/peer-failure.js";
import type { LeaderRpcClient } from "../../leader-client/leader-rpc-client.js";
import type { CallerRequest } from "./caller-request.js";
import type { Claim } from "./claim.js";

const claimTimeoutMs = 3_000;
const outcomeTimeoutMs = 15_000;

/** Records unrepeatable requests with the keepers: the claim before the first byte goes out, and the outcome after. */
export class DispatchRecorder {
    /**
     * @param leaderClient - the way to the leader
     * @param clock - wall time for retention
     */
    constructor(private readonly leaderClient: LeaderRpcClient, private readonly clock: Clock) {}

    /**
     * Claims a request.
     * @param team - its team
     * @param call - the request
     * @param content - its body, as far as it was read
     * @returns the claim and what the keepers say to it
     */
    async sendClaim(
        team: string,
        call: CallerRequest,
        content: Buffer | undefined,
    ): Promise<Result<{ claim: Claim; result: ClaimResult }, PeerFailure>> {
        const claim: Claim = { dispatchId: `${team}/${call.route}/${call.id}`, attempt: randomUUID() };
        const leftMs = call.deadlineAt - this.clock.readMonotonic();
        const reply = await this.leaderClient.sendCommand({
            kind: CommandKind.RecordDispatch,
            ...claim,
            fingerprint: computeFingerprint(call, content),
            at: this.clock.readWall(),
        }, Math.max(1, Math.min(claimTimeoutMs, leftMs)));
        return reply.map(result => ({ claim, result }));
    }

    /**
     * Records how a claimed request ended. Until that is committed, callers who ask again learn that it may have run.
     * @param claim - the claim
     * @param state - the end
     * @param answer - the target's answer, when there is one
     */
    sendOutcome(
        claim: Claim,
        state: DispatchState.Completed | DispatchState.NotRun,
        answer: RecordedResponse | undefined,
    ): void {
        void this.leaderClient.sendCommand(
            { kind: CommandKind.RecordOutcome, ...claim, state, answer },
            outcomeTimeoutMs,
        );
    }
}

function computeFingerprint(call: CallerRequest, content: Buffer | undefined): string {
    const hash = createHash("sha256").update(`${call.method}\n${call.path}\n${call.bodyBytes ?? "chunked"}\n`);
    return hash.update(content ?? "").digest("hex").slice(0, 32);
}
