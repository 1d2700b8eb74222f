import { describe, expect, it } from "@jest/globals";

import { IsolationPolicy } from "../tables/isolation-policy.js";
import { ObjectKind } from "../tables/object-kind.js";
import { RouteAccess } from "../tables/route-access.js";
import type { TableEdit } from "../tables/table-edit.js";
import { applyCommand } from "./apply-command.js";
import { ChangeOutcome } from "./change-outcome.js";
import { CommandKind } from "./command-kind.js";
import type { ControlState } from "./control-state.js";
import { createControlState } from "./create-control-state.js";
import { decodeControlState } from "./decode-control-state.js";
import { encodeControlState } from "./encode-control-state.js";

const team = (name: string, upperLimit: number, ifRevision?: number): TableEdit => ({
    kind: ObjectKind.Team,
    name,
    value: { share: 1, upperLimit, isolatedService: IsolationPolicy.Refuse },
    ifRevision,
});

function runChange(state: ControlState, changeId: string, edits: TableEdit[], baseRevision?: number) {
    return applyCommand(state, { kind: CommandKind.ChangeTables, changeId, edits, baseRevision });
}

describe("applyChangeTables", () => {
    it("returns the same result for the same change id, also after restoring a snapshot", () => {
        const state = createControlState();
        const first = runChange(state, "one", [team("spas", 4)]);
        runChange(state, "two", [team("spas", 5)]);
        const restored = decodeControlState(encodeControlState(state));
        expect(runChange(restored, "one", [team("spas", 4)])).toEqual(first);
        expect(restored.tables.objects.team.get("spas")?.value.upperLimit).toBe(5);
    });

    it("refuses a change id that was used with different content", () => {
        const state = createControlState();
        runChange(state, "one", [team("spas", 4)]);
        expect(runChange(state, "one", [team("spas", 9)]).outcome).toBe(ChangeOutcome.IdReused);
    });

    it("names the conflicting change when the revision of the object or the tables is outdated", () => {
        const state = createControlState();
        runChange(state, "one", [team("spas", 4, 0)]);
        expect(runChange(state, "two", [team("spas", 5, 0)])).toMatchObject({
            outcome: ChangeOutcome.Conflict,
            winner: { changeId: "one", object: "team/spas", revision: 1 },
        });
        expect(runChange(state, "three", [team("hotels", 5)], 0).winner?.changeId).toBe("one");
    });

    it("lists every validation error and applies nothing", () => {
        const state = createControlState();
        const result = runChange(state, "one", [
            team("spas", 4),
            {
                kind: ObjectKind.Route,
                name: "book",
                value: { pool: "later", team: "nobody", access: RouteAccess.Open },
            },
            { kind: ObjectKind.Vm, name: "vm-1", value: { pool: "absent", zone: "a", rack: "r" } },
            { kind: ObjectKind.Team, name: "Bad Name" },
        ]);
        expect(result.faults?.map(({ name }) => name)).toEqual(["book", "vm-1", "Bad Name"]);
        expect(state.tables.revision).toBe(0);
        expect(state.tables.objects.team.size).toBe(0);
    });

    it("accepts a route to a pool that does not exist yet, and refuses to remove a team in use", () => {
        const state = createControlState();
        const route: TableEdit = {
            kind: ObjectKind.Route,
            name: "book",
            value: { pool: "later", team: "spas", access: RouteAccess.Open },
        };
        expect(runChange(state, "one", [team("spas", 4), route]).outcome).toBe(ChangeOutcome.Accepted);
        expect(runChange(state, "two", [{ kind: ObjectKind.Team, name: "spas" }]).outcome).toBe(ChangeOutcome.Invalid);
    });
});
