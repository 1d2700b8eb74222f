import { createHmac } from "node:crypto";

/**
 * Computes the stored digest of a key's secret.
 * @param salt - hexadecimal salt
 * @param secret - the secret part of the key
 * @returns HMAC-SHA-256, hexadecimal
 */
export function computeKeyDigest(salt: string, secret: string): string {
    return createHmac("sha256", Buffer.from(salt, "hex")).update(secret).digest("hex");
}
