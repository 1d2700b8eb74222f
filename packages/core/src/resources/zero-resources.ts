import type { Resources } from "./resources.js";

/** An amount of zero in every dimension. */
export const zeroResources: Resources = { cpu: 0, memory: 0, gpu: 0 };
