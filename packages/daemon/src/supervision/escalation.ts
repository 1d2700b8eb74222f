/** Thrown by a supervisor whose children failed more often than its restart policy allows. */
export class Escalation extends Error {
    override readonly name = "Escalation";

    /**
     * @param supervisor - name of the supervisor
     * @param child - name of the child that failed last
     * @param cause - error of that child
     */
    constructor(readonly supervisor: string, readonly child: string, override readonly cause: unknown) {
        super(`${supervisor} gives up: ${child} failed too often: ${String(cause)}`);
    }
}
