/** A node of the supervisor tree: one goroutine that a supervisor starts and stops. */
export abstract class Worker {
    /** Name within its supervisor. */
    abstract readonly name: string;

    /**
     * Body of the goroutine. It returns only after `stop` was called; a supervisor treats an earlier return as failure.
     * @throws any error, upon which the supervisor restarts the worker or escalates
     */
    abstract run(): Generator<unknown, void, unknown>;

    /** Requests the goroutine to end. It completes any necessary cleanup before it returns. */
    abstract stop(): void;
}
