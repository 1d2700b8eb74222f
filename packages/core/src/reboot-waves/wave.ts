import type { PauseReason } from "./pause-reason.js";
import type { WaveStatus } from "./wave-status.js";
import type { WaveVm } from "./wave-vm.js";

/** A maintenance of many VMs, each once. */
export interface Wave {
    readonly id: string;
    readonly status: WaveStatus;
    readonly pauseReason?: PauseReason | undefined;
    /** Wall clock, milliseconds. */
    readonly startedAt: number;
    readonly vms: ReadonlyMap<string, WaveVm>;
}
