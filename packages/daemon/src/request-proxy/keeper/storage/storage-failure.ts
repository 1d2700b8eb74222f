import type { StorageFailureKind } from "./storage-failure-kind.js";

/** A keeper's storage cannot be used. The keeper stops; the failed operation is not retried. */
export class StorageFailure extends Error {
    override readonly name = "StorageFailure";

    /**
     * @param kind - the cause
     * @param file - path of the file
     * @param offset - position in the file, bytes
     * @param detail - description for the error message
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
