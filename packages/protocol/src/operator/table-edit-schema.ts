import { Access } from "@daisylock/core/tables/access.js";
import { IsolatedService } from "@daisylock/core/tables/isolated-service.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import * as v from "valibot";

const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "expected lower case letters, digits, . _ -"));
const hexadecimal = (digits: number) => v.pipe(v.string(), v.regex(new RegExp(`^[0-9a-f]{${digits}}$`)));
const edit = <Kind extends ObjectKind, Value extends v.GenericSchema>(kind: Kind, value: Value) =>
    v.strictObject({
        kind: v.literal(kind),
        name,
        value: v.optional(value),
        ifRevision: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0))),
    });

/** One edit of the tables as operators send it. */
export const tableEditSchema = v.variant("kind", [
    edit(ObjectKind.Route, v.strictObject({ pool: name, team: name, access: v.enum(Access) })),
    edit(
        ObjectKind.Pool,
        v.strictObject({
            maxUnavailablePercent: v.pipe(v.number(), v.minValue(0), v.maxValue(100)),
            spare: v.boolean(),
        }),
    ),
    edit(
        ObjectKind.Team,
        v.strictObject({
            share: v.pipe(v.number(), v.minValue(0.001), v.maxValue(1_000_000)),
            upperLimit: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1_000_000)),
            isolatedService: v.enum(IsolatedService),
        }),
    ),
    edit(ObjectKind.Key, v.strictObject({ team: name, salt: hexadecimal(32), digest: hexadecimal(64) })),
    edit(ObjectKind.Vm, v.strictObject({ pool: name, zone: name, rack: name })),
]);
