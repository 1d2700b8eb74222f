import type { StorageFailureKind } from "./storage-failure-kind.js";

/** A keeper's disk can't be used. The keeper stops deciding; it does not try again as if nothing had been. */
export class StorageFailure extends Error {
    override readonly name = "StorageFailure";

    /**
     * @param kind - what is wrong
     * @param file - path of the file
     * @param offset - position in the file, bytes
     * @param detail - what was seen
     */
    constructor(
        readonly kind: StorageFailureKind,
        readonly file: string,
        readonly offset: number,
        detail: string,
    ) {
        super(`${kind}: ${file} at byte ${offset}: ${detail}`);
    }
}
