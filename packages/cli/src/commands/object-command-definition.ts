import type { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import type { ArgumentsCamelCase, Options } from "yargs";

/** How one kind of object is shown on the command line. */
export interface ObjectCommandDefinition {
    readonly kind: ObjectKind;
    readonly describe: string;
    readonly options: Readonly<Record<string, Options>>;
    /** Makes the object's value from the options. */
    readonly buildValue: (options: ArgumentsCamelCase) => unknown;
    readonly example: string;
}
