import type { MaintenanceWave } from "./maintenance-wave.js";

/**
 * Tells whether the maintenance of every VM of a wave has begun.
 * @param wave - the wave
 * @returns true when no VM of the wave is left to maintain
 */
export function isWaveCompleted(wave: MaintenanceWave): boolean {
    return wave.vms.every(vm => wave.done.includes(vm));
}
