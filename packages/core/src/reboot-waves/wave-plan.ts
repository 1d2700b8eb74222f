import type { PauseReason } from "./pause-reason.js";
import type { WaveTransition } from "./wave-transition.js";

/** What a wave should do next. */
export interface WavePlan {
    readonly transitions: readonly WaveTransition[];
    readonly pause?: PauseReason | undefined;
    readonly isDone: boolean;
}
