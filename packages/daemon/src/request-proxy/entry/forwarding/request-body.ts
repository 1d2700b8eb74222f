import type { IncomingMessage } from "node:http";

/** Body of a request: already in memory, or to be streamed from the caller. */
export type RequestBody =
    | { readonly kind: "buffered"; readonly content: Buffer }
    | { readonly kind: "streamed"; readonly source: IncomingMessage };
