import { connect, createServer } from "node:net";

/**
 * A TCP proxy that can cut its link: while it is cut, no byte passes in either direction and connections are neither
 * refused nor served, as behind a partition. What was held up passes when the cut ends, unless its sender has given up.
 */
export class TcpCut {
    constructor(host, targetHost, targetPort) {
        Object.assign(this, { host, targetHost, targetPort });
        this.isCut = false;
        this.pairs = new Set();
        this.held = [];
        this.server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, socket => this.accept(socket));
    }

    async start(port = 0) {
        await new Promise(resolve => this.server.listen(port, this.host, resolve));
        return this.server.address().port;
    }

    setCut(isCut) {
        this.isCut = isCut;
        if (!isCut) {
            this.held.splice(0).forEach(run => run());
        }
        for (const pair of this.pairs) {
            pair.forEach(socket => isCut ? socket.pause() : socket.resume());
        }
    }

    accept(inner) {
        inner.on("error", () => inner.destroy());
        if (this.isCut) {
            this.held.push(() => inner.destroyed ? undefined : this.accept(inner));
            return;
        }
        const outer = connect({ host: this.targetHost, port: this.targetPort, allowHalfOpen: true });
        const pair = [inner, outer];
        this.pairs.add(pair);
        const afterCut = run => this.isCut ? this.held.push(run) : run();
        for (const [from, to] of [pair, [outer, inner]]) {
            from.setNoDelay(true);
            from.on("data", chunk => to.write(chunk));
            from.on("end", () => afterCut(() => to.end()));
            from.on("error", () => from.destroy());
            from.on("close", () =>
                afterCut(() => {
                    to.destroy();
                    this.pairs.delete(pair);
                }));
        }
        inner.resume();
    }

    stop() {
        this.server.close();
        this.pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
    }
}
