import type { PauseReason } from "./pause-reason.js";
import type { WaveTransition } from "./wave-transition.js";

/** The next transitions of a wave. */
export interface WavePlan {
    readonly transitions: readonly WaveTransition[];
    /** Reason to pause the wave; `undefined` to leave its status. */
    readonly pause?: PauseReason | undefined;
    /** Whether every VM is done or given up. */
    readonly isDone: boolean;
}
