import type { ObjectKind } from "./object-kind.js";
import type { ObjectValues } from "./object-values.js";

/** Sets or removes one object of the tables. */
export type TableEdit = {
    [Kind in ObjectKind]: {
        readonly kind: Kind;
        readonly name: string;
        /** The new value; `undefined` removes the object. */
        readonly value?: ObjectValues[Kind] | undefined;
        /** Revision the object must have, else the change is refused; 0: must not exist; `undefined`: no check. */
        readonly ifRevision?: number | undefined;
    };
}[ObjectKind];
