import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import { RouteAccess } from "@daisylock/core/tables/route-access.js";

import type { ObjectCommandDefinition } from "./object-command-definition.js";

const requiredString = (describe: string) => ({ type: "string", demandOption: true, describe }) as const;

/** Kinds of table objects with common list, set and remove commands. Keys have their own commands. */
export const objectCommandDefinitions: readonly ObjectCommandDefinition[] = [
    {
        kind: ObjectKind.Route,
        describe: "Manage routes, which assign the requests of a team to a pool",
        options: {
            pool: requiredString("Pool that serves the route; it need not exist yet"),
            team: requiredString("Team to which the requests belong"),
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
        describe: "Manage pools, the groups of VMs that serve routes",
        options: {
            maxUnavailable: {
                type: "number",
                default: 25,
                describe: "Maximum percentage of the VMs that may be unavailable at once",
            },
            spare: {
                type: "boolean",
                default: false,
                describe: "Whether the pool is a spare pool, which provides VMs to other pools",
            },
        },
        buildValue: ({ maxUnavailable, spare }) => ({ maxUnavailablePercent: maxUnavailable, spare }),
        example: "pool set front-desk --max-unavailable 25",
    },
    {
        kind: ObjectKind.Team,
        describe: "Manage teams, their shares and upper limits",
        options: {
            share: { type: "number", default: 1, describe: "Weight in the allocation of a full pool" },
            limit: {
                type: "number",
                demandOption: true,
                describe: "Maximum number of requests and tasks that run at once",
            },
            isolated: {
                choices: Object.values(IsolationPolicy),
                default: IsolationPolicy.Refuse,
                describe: "How an isolated zone handles keyed requests while it cannot verify keys",
            },
        },
        buildValue: ({ share, limit, isolated }) => ({ share, upperLimit: limit, isolatedService: isolated }),
        example: "team set spas --share 3 --limit 40",
    },
    {
        kind: ObjectKind.Vm,
        describe: "Manage VMs, each of which belongs to one pool",
        options: {
            pool: requiredString("Pool of the VM"),
            zone: requiredString("Availability zone of the VM"),
            rack: { type: "string", default: "none", describe: "Rack of the VM" },
        },
        buildValue: ({ pool, zone, rack }) => ({ pool, zone, rack }),
        example: "vm set vm-17 --pool front-desk --zone a --rack a1",
    },
];
