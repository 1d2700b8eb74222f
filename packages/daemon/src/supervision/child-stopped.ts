/** Error for a child that ended without an error although its supervisor had not stopped it. */
export class ChildStopped extends Error {
    override readonly name = "ChildStopped";

    /**
     * @param child - name of the child
     */
    constructor(readonly child: string) {
        super(`${child} ended without being asked`);
    }
}
