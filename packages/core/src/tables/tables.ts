import type { ObjectKind } from "./object-kind.js";
import type { TableObject } from "./table-object.js";

/** All objects that operators edit, at one revision, by kind and name. */
export interface Tables {
    /** Number of accepted changes so far. */
    revision: number;
    /** Chained hash over all changes, empty at revision 0; copies with equal digests have the same content. */
    digest: string;
    readonly objects: { readonly [Kind in ObjectKind]: Map<string, TableObject<Kind>> };
}
