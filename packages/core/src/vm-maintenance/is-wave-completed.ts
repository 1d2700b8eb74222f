import type { MaintenanceWave } from "./maintenance-wave.js";

/**
 * Tells whether the maintenance of every VM of a wave has begun.
 * @param wave - the wave
 * @returns true when nothing is left to order
 */
export function isWaveCompleted(wave: MaintenanceWave): boolean {
    return wave.vms.every(vm => wave.done.includes(vm));
}
