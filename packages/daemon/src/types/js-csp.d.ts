/** Types of the functions of js-csp that the daemon uses. The package contains no type declarations. */
declare module "js-csp" {
    export interface Channel<T> {
        close(): void;
        isClosed(): boolean;
        readonly element?: T;
    }
    interface Csp {
        chan<T>(buffer?: unknown): Channel<T>;
        takeAsync<T>(channel: Channel<T>, handleMessage: (message: unknown) => void): void;
        offer<T>(channel: Channel<T>, value: T): boolean;
        poll<T>(channel: Channel<T>): unknown;
        readonly CLOSED: unknown;
        readonly NO_VALUE: unknown;
        readonly buffers: { fixed(size: number): unknown; sliding(size: number): unknown };
    }
    const csp: Csp;
    export default csp;
}
