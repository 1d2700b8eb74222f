import { describe, expect, it } from "@jest/globals";

import { buildPoolForecast } from "../testing/build-pool-forecast.js";
import { planMoves } from "./plan-moves.js";

const vmCpu = 32_000;

describe("planMoves", () => {
    it("shares spare VMs that do not fill all reserves between the pools below theirs, in any order of the pools", () => {
        const reserve = 10 * vmCpu;
        const pools = ["a", "b"].map(name => buildPoolForecast(name, 0, 0, { reserve }));
        const moves = planMoves([...pools, buildPoolForecast("off", 0, 10, { isSpare: true })]);
        expect(["a", "b"].map(name => moves.filter(({ to }) => to === name).length)).toEqual([5, 5]);
    });
});
