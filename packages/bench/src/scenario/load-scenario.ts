import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import * as v from "valibot";

import { ScenarioFailure } from "./scenario-failure.js";
import { scenarioSchema } from "./scenario-schema.js";
import type { Scenario } from "./scenario.js";

/**
 * Loads and validates a scenario file.
 * @param file - path of the file
 * @returns the scenario
 * @throws ScenarioFailure with every validation error, or when the file cannot be read or parsed
 */
export function loadScenario(file: string): Scenario {
    let content: unknown;
    try {
        content = parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        throw new ScenarioFailure(file, [(error as Error).message]);
    }
    const result = v.safeParse(scenarioSchema, content);
    if (!result.success) {
        throw new ScenarioFailure(file, describeIssues(result.issues));
    }
    return result.output;
}
