const quote = 0x22;
const backslash = 0x5c;
const comma = 0x2c;
const openBracket = 0x5b;
const closeBracket = 0x5d;
const openBrace = 0x7b;
const closeBrace = 0x7d;
/** Longest property name that is looked at, bytes. */
const maxNameBytes = 32;

/**
 * Reads a JSON text in parts and takes the elements of one array out of it, one at a time, so that a large array is never
 * parsed as a whole. Each element is left to `JSON.parse`, which is faster than a parser that yields elements.
 * @param parts - the text as UTF-8, cut anywhere
 * @param path - property names that lead to the array from the outermost object
 * @param handleElement - called with the text of each element
 * @returns the text with the array empty
 */
export function takeArrayElements(
    parts: Iterable<Uint8Array>,
    path: readonly string[],
    handleElement: (text: string) => void,
): string {
    const reader = new ArrayReader(path, handleElement);
    for (const part of parts) {
        reader.readPart(part);
    }
    return reader.readRemainder();
}

class ArrayReader {
    private readonly remainder: Uint8Array[] = [];
    private element: Uint8Array[] = [];
    private depth = 0;
    private isInString = false;
    private isEscaped = false;
    /** Last string at each depth: the property name when a value begins. */
    private readonly names: string[] = [];
    private name: number[] = [];
    private isInArray = false;

    constructor(
        private readonly path: readonly string[],
        private readonly handleElement: (text: string) => void,
    ) {}

    readRemainder(): string {
        return decodeText(this.remainder);
    }

    readPart(part: Uint8Array): void {
        let start = 0;
        for (let position = 0; position < part.length; position++) {
            const byte = part[position] ?? 0;
            if (this.isInString) {
                this.readStringByte(byte);
            }
            else if (byte === quote) {
                this.isInString = true;
                this.name = [];
            }
            else if (byte === openBrace || byte === openBracket) {
                this.depth += 1;
                if (byte === openBracket && this.isAtPath()) {
                    this.isInArray = true;
                    this.remainder.push(part.subarray(start, position + 1));
                    start = position + 1;
                }
            }
            else if (byte === comma && this.isBetweenElements()) {
                this.takeElement(part.subarray(start, position));
                start = position + 1;
            }
            else if (byte === closeBrace || byte === closeBracket) {
                if (this.isBetweenElements()) {
                    this.takeElement(part.subarray(start, position));
                    this.isInArray = false;
                    start = position;
                }
                this.depth -= 1;
            }
        }
        (this.isInArray ? this.element : this.remainder).push(part.subarray(start));
    }

    private readStringByte(byte: number): void {
        if (this.isEscaped) {
            this.isEscaped = false;
        }
        else if (byte === backslash) {
            this.isEscaped = true;
        }
        else if (byte === quote) {
            this.isInString = false;
            if (!this.isInArray && this.depth <= this.path.length) {
                this.names[this.depth] = String.fromCharCode(...this.name);
            }
            return;
        }
        if (!this.isInArray && this.name.length < maxNameBytes) {
            this.name.push(byte);
        }
    }

    private isAtPath(): boolean {
        return !this.isInArray && this.depth === this.path.length + 1
            && this.path.every((name, position) => this.names[position + 1] === name);
    }

    private isBetweenElements(): boolean {
        return this.isInArray && this.depth === this.path.length + 1;
    }

    private takeElement(end: Uint8Array): void {
        const text = decodeText([...this.element, end]);
        this.element = [];
        if (text.trim() !== "") {
            this.handleElement(text);
        }
    }
}

function decodeText(pieces: readonly Uint8Array[]): string {
    return Buffer.concat(pieces).toString();
}
