/** Commits under way, so that a call that is repeated meanwhile waits for the same commit instead of another one. */
export class CommitsUnderWay<Reply> {
    private readonly replies = new Map<string, Promise<Reply>>();

    /**
     * Runs a commit, unless one for the same subject is under way.
     * @param subject - what is committed; equal for repetitions of a call
     * @param commit - commits it and computes the reply
     * @returns the reply, which repetitions share
     */
    runOnce(subject: string, commit: () => Promise<Reply>): Promise<Reply> {
        const underWay = this.replies.get(subject);
        if (underWay !== undefined) {
            return underWay;
        }
        const reply = commit().finally(() => this.replies.delete(subject));
        this.replies.set(subject, reply);
        return reply;
    }
}
