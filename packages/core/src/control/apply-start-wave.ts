import { VmStep } from "../reboot-waves/vm-step.js";
import { WaveStatus } from "../reboot-waves/wave-status.js";
import type { ControlState } from "./control-state.js";
import type { StartWaveCommand } from "./start-wave-command.js";
import { StartWaveOutcome } from "./start-wave-outcome.js";
import type { StartWaveResult } from "./start-wave-result.js";

/** Largest number of ended waves kept in the replicated state when a wave starts. */
const maxEndedWaves = 20;

/**
 * Starts a reboot wave, unless a VM is unknown or part of another wave that has not ended.
 * @param state - the replicated state, changed in place
 * @param command - id and VMs of the wave
 * @returns whether the wave was started, or why not. A repeated id returns `Started` without an effect.
 */
export function applyStartWave(state: ControlState, command: StartWaveCommand): StartWaveResult {
    if (state.waves.has(command.waveId)) {
        return { outcome: StartWaveOutcome.Started };
    }
    const unknown = command.vms.filter(vm => !state.tables.objects.vm.has(vm));
    if (unknown.length > 0) {
        return { outcome: StartWaveOutcome.UnknownVm, unknown };
    }
    for (const wave of state.waves.values()) {
        const isActive = wave.status === WaveStatus.Running || wave.status === WaveStatus.Paused;
        if (isActive && command.vms.some(vm => wave.vms.has(vm))) {
            return { outcome: StartWaveOutcome.Overlap, winner: wave.id };
        }
    }
    dropEnded(state);
    state.waves.set(command.waveId, {
        id: command.waveId,
        status: WaveStatus.Running,
        startedAt: command.at,
        vms: new Map(command.vms.map(vm => [vm, { step: VmStep.Waiting, since: command.at, incarnation: 0 }])),
    });
    return { outcome: StartWaveOutcome.Started };
}

function dropEnded(state: ControlState): void {
    const ended = [...state.waves.values()].filter(({ status }) =>
        status === WaveStatus.Done || status === WaveStatus.Aborted
    );
    for (const wave of ended.slice(0, Math.max(0, ended.length - maxEndedWaves))) {
        state.waves.delete(wave.id);
    }
}
