import type { IncomingMessage } from "node:http";

/** A request's body: read already, or still to come. */
export type RequestBody =
    | { readonly kind: "buffered"; readonly content: Buffer }
    | { readonly kind: "streamed"; readonly source: IncomingMessage };
