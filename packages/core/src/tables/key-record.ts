/** The stored form of a key; the secret itself is never stored. */
export interface KeyRecord {
    readonly team: string;
    /** Random salt, hexadecimal. */
    readonly salt: string;
    /** HMAC-SHA-256 of the secret under the salt, hexadecimal. */
    readonly digest: string;
}
