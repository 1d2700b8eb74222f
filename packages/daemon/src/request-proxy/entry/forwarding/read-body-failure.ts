/** Failure to receive the whole body of a caller's request. */
export class ReadBodyFailure extends Error {
    override readonly name = "ReadBodyFailure";

    /**
     * @param detail - cause of the failure
     */
    constructor(detail: string) {
        super(detail);
    }
}
