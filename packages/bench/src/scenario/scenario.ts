import type * as v from "valibot";

import type { scenarioSchema } from "./scenario-schema.js";

/** A validated scenario. */
export type Scenario = v.InferOutput<typeof scenarioSchema>;
