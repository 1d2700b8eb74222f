/** Size from which a batch takes no further text, characters; well below the largest frame of a channel. */
const maxBatchCharacters = 256 * 1_024;

interface Batch {
    readonly number: number;
    readonly texts: string[];
    characters: number;
}

/** Collects JSON texts for one channel until it writes. The body of each notice is an array of them. */
export class TextBatcher {
    /** Batches that the channel has not taken; the last one receives further texts. */
    private readonly batches: Batch[] = [];
    private batchCount = 0;
    private takenCount = 0;

    /**
     * @param scheduleNotice - schedules a notice with the body that is built then; returns false when that is not possible
     */
    constructor(private readonly scheduleNotice: (buildBody: () => Buffer) => boolean) {}

    /**
     * Adds a text to the next batch.
     * @param text - the text
     * @returns number of the batch; `undefined` when the channel cannot send it
     */
    addText(text: string): number | undefined {
        let batch = this.batches.at(-1);
        if (batch === undefined || batch.characters >= maxBatchCharacters) {
            if (!this.scheduleNotice(() => this.takeBatch())) {
                return undefined;
            }
            this.batchCount += 1;
            batch = { number: this.batchCount, texts: [], characters: 0 };
            this.batches.push(batch);
        }
        batch.texts.push(text);
        batch.characters += text.length;
        return batch.number;
    }

    /**
     * Tells whether the channel has taken a batch, so that its texts may have reached the peer.
     * @param batch - number of the batch
     * @returns false while its texts are collected, and for one that was dropped before
     */
    isTaken(batch: number): boolean {
        return batch <= this.takenCount;
    }

    private takeBatch(): Buffer {
        const batch = this.batches.shift();
        this.takenCount = batch?.number ?? this.takenCount;
        return Buffer.from(`[${batch?.texts.join() ?? ""}]`);
    }
}
