import type { Resources } from "./resources.js";

/** Nothing at all. */
export const noResources: Resources = { cpu: 0, memory: 0, gpu: 0 };
