import { crc32 } from "node:zlib";

/** A part of the content: whole characters as UTF-8, and their position and number in UTF-16 code units. */
interface ContentPart {
    readonly bytes: Buffer;
    readonly offset: number;
    readonly length: number;
}

const maxCodeUnit = 0xffff;

/**
 * Text of a snapshot as UTF-8, in parts. Buffers lie outside of the runtime's heap, which would otherwise hold the whole
 * state once more as text, in some moments several times. Positions are UTF-16 code units, as in messages of all releases.
 */
export class SnapshotContent {
    /** Largest number of UTF-16 code units in a part, and in a chunk of a transfer. */
    static readonly maxPartLength = 64 * 1024;

    private constructor(private readonly parts: readonly ContentPart[]) {}

    /** The content of a keeper that has no snapshot. */
    static readonly empty = new SnapshotContent([]);

    /**
     * Encodes a text.
     * @param pieces - the text; each piece ends between characters
     * @returns the content
     */
    static encode(pieces: Iterable<string>): SnapshotContent {
        const parts: ContentPart[] = [];
        let offset = 0;
        let pending = "";
        const addPart = (text: string): void => {
            parts.push({ bytes: Buffer.from(text), offset, length: text.length });
            offset += text.length;
        };
        for (const piece of pieces) {
            pending += piece;
            while (pending.length >= SnapshotContent.maxPartLength) {
                const text = cutWholeCharacters(pending, SnapshotContent.maxPartLength);
                addPart(text);
                pending = pending.slice(text.length);
            }
        }
        if (pending !== "") {
            addPart(pending);
        }
        return new SnapshotContent(parts);
    }

    /**
     * Wraps parts that were stored.
     * @param buffers - the parts as UTF-8, each with whole characters
     * @returns the content
     */
    static restore(buffers: readonly Buffer[]): SnapshotContent {
        let offset = 0;
        return new SnapshotContent(buffers.map(bytes => {
            const part = { bytes, offset, length: bytes.toString().length };
            offset += part.length;
            return part;
        }));
    }

    /**
     * The length of the text.
     * @returns UTF-16 code units
     */
    get length(): number {
        const last = this.parts.at(-1);
        return last === undefined ? 0 : last.offset + last.length;
    }

    /**
     * The size of the text.
     * @returns bytes as UTF-8
     */
    get byteLength(): number {
        return this.parts.reduce((sum, { bytes }) => sum + bytes.length, 0);
    }

    /**
     * Lists the parts.
     * @returns the parts as UTF-8
     */
    listBuffers(): readonly Buffer[] {
        return this.parts.map(({ bytes }) => bytes);
    }

    /**
     * Reads the text up to the end of a part.
     * @param offset - position of the first character, UTF-16 code units
     * @returns whole characters; empty at the end
     */
    readChunk(offset: number): string {
        const part = this.parts.find(candidate => offset < candidate.offset + candidate.length);
        return part?.bytes.toString().slice(offset - part.offset) ?? "";
    }

    /**
     * Adds a text at the end.
     * @param text - whole characters
     * @returns the longer content
     */
    append(text: string): SnapshotContent {
        const part = { bytes: Buffer.from(text), offset: this.length, length: text.length };
        return text === "" ? this : new SnapshotContent([...this.parts, part]);
    }

    /**
     * Computes the CRC-32 of the text as UTF-8.
     * @returns the checksum
     */
    computeChecksum(): number {
        return this.parts.reduce((checksum, { bytes }) => crc32(bytes, checksum), 0);
    }

    /**
     * Reads the whole text. For small contents, as the text lies in the heap.
     * @returns the text
     */
    readText(): string {
        return this.parts.map(({ bytes }) => bytes.toString()).join("");
    }
}

/** Cuts between characters: half of a surrogate pair cannot be encoded as UTF-8. */
function cutWholeCharacters(text: string, length: number): string {
    const isPairCut = length < text.length && (text.codePointAt(length - 1) ?? 0) > maxCodeUnit;
    return text.slice(0, isPairCut ? length - 1 : length);
}
