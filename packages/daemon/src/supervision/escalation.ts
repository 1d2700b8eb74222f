/** Thrown by a supervisor whose children failed too often. */
export class Escalation extends Error {
    override readonly name = "Escalation";

    /**
     * @param supervisor - name of the supervisor
     * @param child - the child that failed last
     * @param cause - its error
     */
    constructor(readonly supervisor: string, readonly child: string, override readonly cause: unknown) {
        super(`${supervisor} gives up: ${child} failed too often: ${String(cause)}`);
    }
}
