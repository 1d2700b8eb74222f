/** A child of the supervisor tree: one goroutine with a defined end. */
export abstract class Worker {
    /** Name within its supervisor. */
    abstract readonly name: string;

    /**
     * The goroutine. It ends normally only after stop, unless its supervisor expects otherwise.
     * @throws anything; its supervisor then restarts it or gives up
     */
    abstract run(): Generator<unknown, void, unknown>;

    /** Asks the goroutine to end. It finishes what it must and returns. */
    abstract stop(): void;
}
