/** An established channel on which a process may send messages that need no response. */
export interface NoticeSender {
    /**
     * Schedules a notice for the next write of the channel, which may be some milliseconds away.
     * @param path - its path
     * @param buildBody - builds its body when the channel writes; not called if the channel ends before
     * @returns false on a channel that has ended
     */
    readonly scheduleNotice: (path: string, buildBody: () => Buffer) => boolean;
}
