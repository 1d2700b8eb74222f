import type { EditFaultCode } from "./edit-fault-code.js";
import type { ObjectKind } from "./object-kind.js";

/** One reason for which a change is refused. */
export interface EditFault {
    readonly kind: ObjectKind;
    readonly name: string;
    readonly code: EditFaultCode;
    /** What is wrong, for people. */
    readonly detail: string;
}
