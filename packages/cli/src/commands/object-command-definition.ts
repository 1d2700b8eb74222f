import type { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import type { ArgumentsCamelCase, Options } from "yargs";

/** Describes the commands for one kind of table object. */
export interface ObjectCommandDefinition {
    readonly kind: ObjectKind;
    readonly describe: string;
    readonly options: Readonly<Record<string, Options>>;
    /** Builds the object's value from the options. */
    readonly buildValue: (options: ArgumentsCamelCase) => unknown;
    readonly example: string;
}
