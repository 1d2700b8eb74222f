import type { PauseReason } from "./pause-reason.js";
import type { WaveTransition } from "./wave-transition.js";

/** The next transitions of a wave. */
export interface WavePlan {
    readonly transitions: readonly WaveTransition[];
    /** Reason to pause the wave; `undefined` when it is not to be paused. */
    readonly pause?: PauseReason | undefined;
    /** Whether no transitions remain and every VM is done or given up. */
    readonly isDone: boolean;
}
