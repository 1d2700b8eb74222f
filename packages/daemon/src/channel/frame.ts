import type { FrameKind } from "./frame-kind.js";

/** One message on a channel between two processes. */
export interface Frame {
    readonly kind: FrameKind;
    /** Number of the request; its response has the same. */
    readonly id: number;
    /** Status of a response, as in HTTP; 0 in other frames. */
    readonly status: number;
    /** Path of a request, as in HTTP; empty in other frames. */
    readonly path: string;
    readonly body: Buffer;
}
