import type { ObjectKind } from "./object-kind.js";
import type { ObjectValues } from "./object-values.js";

/** A named object with the revision of the tables at which it last changed. */
export interface TableObject<Kind extends ObjectKind = ObjectKind> {
    readonly name: string;
    readonly revision: number;
    readonly value: ObjectValues[Kind];
}
