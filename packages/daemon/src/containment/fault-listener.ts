import type { Work } from "./work.js";

/** Called with each fault of contained work, to log and count it. */
export type FaultListener = (fault: Work & { readonly error: unknown }) => void;
