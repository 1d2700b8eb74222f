import type { UpkeepWave } from "./upkeep-wave.js";

/**
 * Tells whether the maintenance of every VM of a wave has begun.
 * @param wave - the wave
 * @returns true when nothing is left to order
 */
export function isWaveCompleted(wave: UpkeepWave): boolean {
    return wave.vms.every(vm => wave.done.includes(vm));
}
