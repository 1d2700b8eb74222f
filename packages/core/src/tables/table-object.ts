import type { ObjectKind } from "./object-kind.js";
import type { ObjectValues } from "./object-values.js";

/** One named object with the revision at which it last changed. */
export interface TableObject<Kind extends ObjectKind = ObjectKind> {
    readonly name: string;
    readonly revision: number;
    readonly value: ObjectValues[Kind];
}
