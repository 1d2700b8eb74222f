import type { EditFaultCode } from "./edit-fault-code.js";
import type { ObjectKind } from "./object-kind.js";

/** A validation error of an edit, for which the change is refused. */
export interface EditFault {
    readonly kind: ObjectKind;
    readonly name: string;
    readonly code: EditFaultCode;
    /** Human-readable message. */
    readonly detail: string;
}
