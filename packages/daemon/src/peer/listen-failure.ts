/** Thrown if a listener cannot bind its address. */
export class ListenFailure extends Error {
    override readonly name = "ListenFailure";

    /**
     * @param address - the address
     * @param detail - error message of the operating system
     */
    constructor(readonly address: string, detail: string) {
        super(`cannot listen on ${address}: ${detail}`);
    }
}
