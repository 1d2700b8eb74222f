import { request } from "node:http";

/**
 * Sends one HTTP request with a JSON body on a connection of its own.
 * @returns status and body; status 0 when there is no response in time
 */
export function sendJson(address, method, path, body, { headers = {}, timeoutMs = 1_000 } = {}) {
    const [host, port] = address.split(":");
    const content = body === undefined ? "" : JSON.stringify(body);
    return new Promise(resolve => {
        const outgoing = request({
            host,
            port,
            method,
            path,
            agent: false,
            headers: { "content-type": "application/json", "content-length": Buffer.byteLength(content), ...headers },
        });
        const finish = (status, text) => {
            clearTimeout(timer);
            resolve({ status, text, body: parse(text) });
            outgoing.destroy();
        };
        const timer = setTimeout(() => finish(0, ""), timeoutMs);
        outgoing.on("error", () => finish(0, ""));
        outgoing.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => finish(response.statusCode, Buffer.concat(chunks).toString()));
            response.on("error", () => finish(0, ""));
        });
        outgoing.end(content);
    });
}

function parse(text) {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
