import type { ObjectKind } from "./object-kind.js";
import type { TableObject } from "./table-object.js";

/** All objects that operators edit, at one revision, by kind and name. */
export interface Tables {
    /** Number of accepted changes so far. */
    revision: number;
    /** Chained hash over the whole sequence of changes; two copies are equal when their digests are. */
    digest: string;
    readonly objects: { readonly [Kind in ObjectKind]: Map<string, TableObject<Kind>> };
}
