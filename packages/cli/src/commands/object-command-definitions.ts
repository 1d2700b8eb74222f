import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import { RouteAccess } from "@daisylock/core/tables/route-access.js";

import type { ObjectCommandDefinition } from "./object-command-definition.js";

const requiredString = (describe: string) => ({ type: "string", demandOption: true, describe }) as const;

/** The kinds of object that are set and removed alike. Keys have commands of their own. */
export const objectCommandDefinitions: readonly ObjectCommandDefinition[] = [
    {
        kind: ObjectKind.Route,
        describe: "Routes carry a team's work to a pool",
        options: {
            pool: requiredString("Pool that serves the route; it need not exist yet"),
            team: requiredString("Team to which the work belongs"),
            access: {
                choices: Object.values(RouteAccess),
                default: RouteAccess.Keyed,
                describe: "Who may use the route",
            },
        },
        buildValue: ({ pool, team, access }) => ({ pool, team, access }),
        example: "route set bookings --pool front-desk --team spas",
    },
    {
        kind: ObjectKind.Pool,
        describe: "Pools hold the VMs that serve routes",
        options: {
            maxUnavailable: {
                type: "number",
                default: 25,
                describe: "Part of the VMs that may be unavailable at once, percent",
            },
            spare: { type: "boolean", default: false, describe: "Whether the pool lends VMs to others" },
        },
        buildValue: ({ maxUnavailable, spare }) => ({ maxUnavailablePercent: maxUnavailable, spare }),
        example: "pool set front-desk --max-unavailable 25",
    },
    {
        kind: ObjectKind.Team,
        describe: "Teams have a share and an upper limit",
        options: {
            share: { type: "number", default: 1, describe: "Weight when a pool is full" },
            limit: { type: "number", demandOption: true, describe: "Most requests and tasks that may run at once" },
            isolated: {
                choices: Object.values(IsolationPolicy),
                default: IsolationPolicy.Refuse,
                describe: "What a zone does with keyed requests while it can't check keys",
            },
        },
        buildValue: ({ share, limit, isolated }) => ({ share, upperLimit: limit, isolatedService: isolated }),
        example: "team set spas --share 3 --limit 40",
    },
    {
        kind: ObjectKind.Vm,
        describe: "Each VM belongs to one pool",
        options: {
            pool: requiredString("Pool of the VM"),
            zone: requiredString("Availability zone of the VM"),
            rack: { type: "string", default: "none", describe: "Rack of the VM" },
        },
        buildValue: ({ pool, zone, rack }) => ({ pool, zone, rack }),
        example: "vm set vm-17 --pool front-desk --zone a --rack a1",
    },
];
