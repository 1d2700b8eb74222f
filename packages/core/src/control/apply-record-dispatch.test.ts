import { describe, expect, it } from "@jest/globals";

import { applyCommand } from "./apply-command.js";
import { ClaimOutcome } from "./claim-outcome.js";
import { CommandKind } from "./command-kind.js";
import type { ControlState } from "./control-state.js";
import { createControlState } from "./create-control-state.js";
import { dispatchRetention } from "./dispatch-retention.js";
import { DispatchState } from "./dispatch-state.js";

const claim = (state: ControlState, attempt: string, at = 0, dispatchId = "spas/pay/1", fingerprint = "f") =>
    applyCommand(state, { kind: CommandKind.RecordDispatch, dispatchId, attempt, fingerprint, at });
const end = (state: ControlState, attempt: string, outcome: DispatchState.Completed | DispatchState.NotRun) =>
    applyCommand(state, { kind: CommandKind.RecordOutcome, dispatchId: "spas/pay/1", attempt, state: outcome });

describe("dispatch record of an unrepeatable request", () => {
    it("is claimed by one attempt only, and accepts a duplicate claim of that attempt", () => {
        const state = createControlState();
        expect(claim(state, "one").outcome).toBe(ClaimOutcome.Claimed);
        expect(claim(state, "one").outcome).toBe(ClaimOutcome.Claimed);
        expect(claim(state, "two")).toMatchObject({
            outcome: ClaimOutcome.AlreadyClaimed,
            record: { state: DispatchState.Dispatched },
        });
    });

    it("returns the recorded outcome to later attempts", () => {
        const state = createControlState();
        claim(state, "one");
        expect(end(state, "two", DispatchState.Completed)).toBe(false);
        expect(end(state, "one", DispatchState.Completed)).toBe(true);
        expect(claim(state, "two").record?.state).toBe(DispatchState.Completed);
    });

    it("can be claimed again only after the request certainly did not run", () => {
        const state = createControlState();
        claim(state, "one");
        end(state, "one", DispatchState.NotRun);
        expect(claim(state, "two").outcome).toBe(ClaimOutcome.Claimed);
        expect(end(state, "one", DispatchState.NotRun)).toBe(false);
    });

    it("refuses the same id with a different fingerprint", () => {
        const state = createControlState();
        claim(state, "one");
        expect(claim(state, "two", 0, "spas/pay/1", "g").outcome).toBe(ClaimOutcome.FingerprintDiffers);
    });

    it("is dropped after the retention time and never before, even when the store is full", () => {
        const state = createControlState();
        for (let number = 0; number < dispatchRetention.maxRecords; number++) {
            claim(state, "one", 0, `spas/pay/${number}`);
        }
        expect(claim(state, "one", 1, "spas/pay/next").outcome).toBe(ClaimOutcome.Full);
        const later = dispatchRetention.retentionMs + 1;
        expect(claim(state, "one", later, "spas/pay/next").outcome).toBe(ClaimOutcome.Claimed);
        expect(state.dispatches.size).toBe(1);
    });
});
