import type { WaveRow } from "./wave-row.js";

const colours: Readonly<Record<string, string>> = {
    "waiting": "#ddd",
    "draining": "#fc6",
    "rebooting": "#f93",
    "probation": "#9cf",
    "done": "#6c6",
    "failed": "#d33",
    "given-up": "#999",
};

/**
 * Builds a self-contained HTML page of a wave, with a table row per rack and a cell per VM.
 * @param wave - the wave
 * @param vms - names and racks of the VMs
 * @returns HTML text
 */
export function buildWavePage(wave: WaveRow, vms: readonly { readonly name: string; readonly rack: string }[]): string {
    const racks = new Map(vms.map(({ name, rack }) => [name, rack]));
    const byRack = new Map<string, WaveRow["vms"][number][]>();
    for (const row of wave.vms) {
        const rack = racks.get(row.vm) ?? "";
        byRack.set(rack, [...byRack.get(rack) ?? [], row]);
    }
    const lines = [...byRack].sort(([a], [b]) => (a < b ? -1 : 1)).map(([rack, rows]) => {
        const cells = rows.map(({ vm, step, since }) => {
            const minutes = Math.round((since - wave.startedAt) / 60_000);
            return `<td style="background:${colours[step] ?? "#fff"}">${vm}<br>${step}, minute ${minutes}</td>`;
        });
        return `<tr><th>${rack}</th>${cells.join("")}</tr>`;
    });
    const counts = Object.entries(wave.counts).map(([step, count]) => `${step} ${count}`).join(", ");
    return `<!doctype html><meta charset="utf-8"><title>${wave.id}</title><h1>${wave.id}: ${wave.status} ${
        wave.pauseReason ?? ""
    }</h1><p>${counts}</p><table border="1">${lines.join("")}</table>`;
}
