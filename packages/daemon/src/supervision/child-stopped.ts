/** A child ended although nobody asked it to. */
export class ChildStopped extends Error {
    override readonly name = "ChildStopped";

    /**
     * @param child - name of the child
     */
    constructor(readonly child: string) {
        super(`${child} ended without being asked`);
    }
}
