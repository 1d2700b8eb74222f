import type { CallFailureKind } from "./call-failure-kind.js";

/** A call that got no answer. */
export interface CallFailure {
    readonly kind: CallFailureKind;
    readonly detail: string;
}
