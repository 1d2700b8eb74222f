/** An address can't be listened on. */
export class ListenFailure extends Error {
    override readonly name = "ListenFailure";

    /**
     * @param address - the address
     * @param detail - what the system says
     */
    constructor(readonly address: string, detail: string) {
        super(`cannot listen on ${address}: ${detail}`);
    }
}
