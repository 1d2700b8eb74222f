import type { KeyRecord } from "./key-record.js";
import type { ObjectKind } from "./object-kind.js";
import type { Pool } from "./pool.js";
import type { Route } from "./route.js";
import type { Team } from "./team.js";
import type { VmRecord } from "./vm-record.js";

/** The value type of each kind of object. */
export interface ObjectValues {
    [ObjectKind.Route]: Route;
    [ObjectKind.Pool]: Pool;
    [ObjectKind.Team]: Team;
    [ObjectKind.Key]: KeyRecord;
    [ObjectKind.Vm]: VmRecord;
}
