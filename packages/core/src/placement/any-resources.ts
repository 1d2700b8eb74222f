import type { Resources } from "../resources/resources.js";

/** Needs that are met by every target, even one whose capacity has shrunk below its load. */
export const anyResources: Resources = {
    cpu: Number.NEGATIVE_INFINITY,
    memory: Number.NEGATIVE_INFINITY,
    gpu: Number.NEGATIVE_INFINITY,
};
