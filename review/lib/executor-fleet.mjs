import { fork } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const program = join(dirname(fileURLToPath(import.meta.url)), "executor.mjs");

/** Starts stand-in executors as separate processes and collects what they run. */
export class ExecutorFleet {
    constructor(record) {
        this.record = record;
        this.children = new Map();
        /** Events of all executors, in order of arrival. */
        this.events = [];
        this.listeners = [];
    }

    /** Starts an executor; resolves once it listens. */
    start(options) {
        const child = fork(program, [JSON.stringify(options)], { stdio: "inherit" });
        this.children.set(options.id, child);
        return new Promise(resolve => {
            child.on("message", message => {
                this.events.push(message);
                const { event, id, atMs, ...fields } = message;
                this.record.note(`executor ${id}: ${event}`, fields, atMs);
                this.listeners.forEach(listener => listener(message));
                if (event === "listening") {
                    resolve(message);
                }
            });
        });
    }

    /** Calls a function for each event. */
    addListener(listener) {
        this.listeners.push(listener);
    }

    async kill(id) {
        const child = this.children.get(id);
        const ended = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGKILL");
        await ended;
        this.children.delete(id);
        this.events.push({ event: "crash", id, atMs: Date.now() });
        this.record.note(`executor ${id}: crash`);
    }

    async stop() {
        await Promise.all([...this.children.keys()].map(id => this.kill(id)));
    }
}
