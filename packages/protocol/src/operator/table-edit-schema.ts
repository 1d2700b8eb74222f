import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import { RouteAccess } from "@daisylock/core/tables/route-access.js";
import * as v from "valibot";

const nameSchema = v.pipe(
    v.string(),
    v.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "expected lower case letters, digits, . _ -"),
);
const buildHexSchema = (digits: number) => v.pipe(v.string(), v.regex(new RegExp(`^[0-9a-f]{${digits}}$`)));
const buildEditSchema = <Kind extends ObjectKind, Value extends v.GenericSchema>(kind: Kind, value: Value) =>
    v.strictObject({
        kind: v.literal(kind),
        name: nameSchema,
        value: v.optional(value),
        ifRevision: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0))),
    });

/** Schema of one edit in an operator's request to change the tables. An edit without a value removes the object. */
export const tableEditSchema = v.variant("kind", [
    buildEditSchema(
        ObjectKind.Route,
        v.strictObject({ pool: nameSchema, team: nameSchema, access: v.enum(RouteAccess) }),
    ),
    buildEditSchema(
        ObjectKind.Pool,
        v.strictObject({
            maxUnavailablePercent: v.pipe(v.number(), v.minValue(0), v.maxValue(100)),
            spare: v.boolean(),
        }),
    ),
    buildEditSchema(
        ObjectKind.Team,
        v.strictObject({
            share: v.pipe(v.number(), v.minValue(0.001), v.maxValue(1_000_000)),
            upperLimit: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1_000_000)),
            isolatedService: v.enum(IsolationPolicy),
        }),
    ),
    buildEditSchema(
        ObjectKind.Key,
        v.strictObject({ team: nameSchema, salt: buildHexSchema(32), digest: buildHexSchema(64) }),
    ),
    buildEditSchema(ObjectKind.Vm, v.strictObject({ pool: nameSchema, zone: nameSchema, rack: nameSchema })),
]);
