import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import * as v from "valibot";

import { ScenarioFailure } from "./scenario-failure.js";
import { scenarioSchema } from "./scenario-schema.js";
import type { Scenario } from "./scenario.js";

/**
 * Loads and checks a scenario.
 * @param file - path of the file
 * @returns the scenario
 * @throws ScenarioFailure with every fault
 */
export function loadScenario(file: string): Scenario {
    let content: unknown;
    try {
        content = parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        throw new ScenarioFailure(file, [(error as Error).message]);
    }
    const checked = v.safeParse(scenarioSchema, content);
    if (!checked.success) {
        throw new ScenarioFailure(file, describeIssues(checked.issues));
    }
    return checked.output;
}
