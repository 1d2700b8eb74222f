import type { ObjectKind } from "./object-kind.js";
import type { TableObject } from "./table-object.js";

/** All objects that operators edit, at one revision. */
export interface Tables {
    /** Number of accepted changes so far. */
    revision: number;
    /** Hash over the whole sequence of changes, which two copies compare. */
    digest: string;
    readonly objects: { readonly [Kind in ObjectKind]: Map<string, TableObject<Kind>> };
}
