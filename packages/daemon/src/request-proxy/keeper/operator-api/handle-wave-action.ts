import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { StepWaveCommand } from "@daisylock/core/control/step-wave-command.js";
import { PauseReason } from "@daisylock/core/reboot-waves/pause-reason.js";
import { VmStep } from "@daisylock/core/reboot-waves/vm-step.js";
import { WaveStatus } from "@daisylock/core/reboot-waves/wave-status.js";
import type { Wave } from "@daisylock/core/reboot-waves/wave.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import { waveActionSchema } from "@daisylock/protocol/operator/wave-action-schema.js";
import { WaveAction } from "@daisylock/protocol/operator/wave-action.js";
import * as v from "valibot";

import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";
import { parseJson } from "./parse-json.js";

/**
 * Pauses, resumes or aborts a reboot wave, or marks one of its failed VMs as given up.
 * @param context - components of the leader
 * @param request - the action
 * @param waveId - id of the wave
 * @returns status of the wave after the action, and the number of VMs whose step changed
 */
export async function handleWaveAction(
    context: OperatorContext,
    request: OperateRequest,
    waveId: string,
): Promise<OperatorResult> {
    const parsed = v.safeParse(waveActionSchema, parseJson(request.body));
    const wave = context.keeper.readControl().waves.get(waveId);
    if (!parsed.success) {
        return { status: 400, body: { type: "malformed", faults: describeIssues(parsed.issues) } };
    }
    if (wave === undefined) {
        return { status: 404, body: { type: "not-found", waveId } };
    }
    const { action, vm } = parsed.output;
    const isEnded = wave.status === WaveStatus.Done || wave.status === WaveStatus.Aborted;
    if (isEnded && action !== WaveAction.GiveUp) {
        return { status: 409, body: { type: "wave-ended", status: wave.status } };
    }
    const base = {
        kind: CommandKind.StepWave,
        waveId,
        transitions: [],
        down: [],
        at: context.clock.readWall(),
    } as const;
    const result = await context.keeper.sendCommand({ ...base, ...buildChange(wave, action, vm) });
    if (result.isErr) {
        return { status: 503, body: { type: "not-confirmed", reason: result.error.kind } };
    }
    const after = context.keeper.readControl().waves.get(waveId);
    return { status: 200, body: { waveId, status: after?.status, steps: result.value.length } };
}

function buildChange(wave: Wave, action: WaveAction, vm: string | undefined): Partial<StepWaveCommand> {
    switch (action) {
        case WaveAction.Pause:
            return { status: WaveStatus.Paused, pauseReason: PauseReason.Operator };
        case WaveAction.Resume:
            return { status: WaveStatus.Running };
        case WaveAction.Abort:
            return { status: WaveStatus.Aborted };
        case WaveAction.GiveUp: {
            const incarnation = wave.vms.get(vm ?? "")?.incarnation ?? 0;
            return { transitions: [{ vm: vm ?? "", from: VmStep.Failed, to: VmStep.GivenUp, incarnation }] };
        }
    }
}
