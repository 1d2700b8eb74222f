import { describe, expect, it } from "@jest/globals";

import { planMemberChange } from "./plan-member-change.js";

type View = Parameters<typeof planMemberChange>[0];

function buildView(voters: string, learners: string, fields: Partial<View> = {}): View {
    const buildMembers = (ids: string) => Object.fromEntries([...ids].map(id => [id, `address of ${id}`]));
    return {
        leader: "a",
        members: { voters: buildMembers(voters), learners: buildMembers(learners) },
        voterCount: 3,
        silentMs: {},
        leaving: new Set(),
        ...fields,
    };
}

/** Describes a change as "+id" or "-id". */
function describeChange(view: View): string | undefined {
    const change = planMemberChange(view);
    return change === undefined
        ? undefined
        : change.promoted === undefined
        ? `-${change.removed}`
        : `+${change.promoted}`;
}

describe("the next change of members", () => {
    it("fills up the voters with learners that respond", () => {
        expect(describeChange(buildView("ab", "c"))).toBe("+c");
        expect(describeChange(buildView("ab", "cd", { silentMs: { c: 600 } }))).toBe("+d");
        expect(describeChange(buildView("abc", "d"))).toBeUndefined();
    });

    it("replaces a voter that leaves by promoting its successor first", () => {
        expect(describeChange(buildView("abc", "d", { leaving: new Set(["c"]) }))).toBe("+d");
        expect(describeChange(buildView("abcd", "", { leaving: new Set(["c"]) }))).toBe("-c");
    });

    it("replaces a silent voter by removing it first", () => {
        expect(describeChange(buildView("abc", "d", { silentMs: { b: 1_900 } }))).toBeUndefined();
        expect(describeChange(buildView("abc", "d", { silentMs: { b: 2_000 } }))).toBe("-b");
        expect(describeChange(buildView("ac", "d", { silentMs: {} }))).toBe("+d");
    });

    it("removes a voter that ended after its successor was promoted", () => {
        expect(describeChange(buildView("abcd", "", { silentMs: { c: 2_000 } }))).toBe("-c");
    });

    it("keeps the number of voters where no learner could take the place", () => {
        expect(describeChange(buildView("abc", "", { leaving: new Set(["c"]) }))).toBeUndefined();
        expect(describeChange(buildView("abc", "", { silentMs: { c: 60_000 } }))).toBeUndefined();
        expect(describeChange(buildView("abc", "d", { silentMs: { c: 60_000, d: 500 } }))).toBeUndefined();
        expect(describeChange(buildView("abc", "d", { leaving: new Set(["c", "d"]) }))).toBeUndefined();
    });

    it("never removes the leader", () => {
        expect(describeChange(buildView("abc", "d", { leaving: new Set(["a"]) }))).toBeUndefined();
        expect(describeChange(buildView("abcd", "", { leaving: new Set(["a"]) }))).toBeUndefined();
    });
});
