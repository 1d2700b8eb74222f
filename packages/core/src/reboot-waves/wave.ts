import type { PauseReason } from "./pause-reason.js";
import type { WaveStatus } from "./wave-status.js";
import type { WaveVm } from "./wave-vm.js";

/** A reboot wave: the maintenance of a set of VMs, each of which is rebooted once. */
export interface Wave {
    readonly id: string;
    readonly status: WaveStatus;
    readonly pauseReason?: PauseReason | undefined;
    /** Start of the wave, wall clock, milliseconds. */
    readonly startedAt: number;
    /** VMs of the wave by name. */
    readonly vms: ReadonlyMap<string, WaveVm>;
}
