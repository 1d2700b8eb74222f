/** A caller's body did not arrive whole. */
export class ReadBodyFailure extends Error {
    override readonly name = "ReadBodyFailure";

    /**
     * @param detail - what happened
     */
    constructor(detail: string) {
        super(detail);
    }
}
