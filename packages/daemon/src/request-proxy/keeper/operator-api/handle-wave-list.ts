import { VmStep } from "@daisylock/core/reboot-waves/vm-step.js";
import type { Wave } from "@daisylock/core/reboot-waves/wave.js";

import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Lists the reboot waves.
 * @param context - components of the leader
 * @returns the waves, each with its VMs and their number by step
 */
export function handleWaveList(context: OperatorContext): OperatorResult {
    const waves = [...context.keeper.readControl().waves.values()];
    return { status: 200, body: { waves: waves.map(describeWave) } };
}

function describeWave(wave: Wave): unknown {
    const counts = Object.fromEntries(Object.values(VmStep).map(step => [step, 0]));
    for (const { step } of wave.vms.values()) {
        counts[step] = (counts[step] ?? 0) + 1;
    }
    const { id, status, pauseReason, startedAt } = wave;
    return { id, status, pauseReason, startedAt, counts, vms: [...wave.vms].map(([vm, state]) => ({ vm, ...state })) };
}
