import type { CallFailureKind } from "./call-failure-kind.js";

/** A call that got no answer. */
export interface CallFailure {
    readonly kind: CallFailureKind;
    readonly detail: string;
    /** Whether nothing came back in time; a refused or broken connection shows that the other machine is there. */
    readonly isTimeout: boolean;
}
