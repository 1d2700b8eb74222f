import type { ScenarioResult } from "./scenario-result.js";

const plotWidth = 900;
const plotHeight = 180;

/**
 * Builds a self-contained page with the measurements and plots of the runs of a scenario.
 * @param results - results of the runs, one for each policy
 * @returns the HTML document
 */
export function buildScenarioPage(results: readonly ScenarioResult[]): string {
    const sections = results.map(result =>
        `<h2>${result.policy.queue}, ${result.policy.target}</h2>`
        + `<pre>${JSON.stringify({ ...result, series: undefined }, undefined, 2)}</pre>`
        + buildPlot(result.series)
    );
    const title = results[0]?.scenario ?? "scenario";
    return `<!doctype html><meta charset="utf-8"><title>${title}</title><h1>${title}</h1>${sections.join("")}`;
}

function buildPlot(series: ScenarioResult["series"]): string {
    const highest = Math.max(1, ...series.flatMap(line => line.confirmed));
    const lines = series.map(({ team, confirmed }, index) => {
        const points = confirmed.map((count, second) => {
            const x = second * plotWidth / Math.max(1, confirmed.length - 1);
            return `${x.toFixed(1)},${(plotHeight - count * plotHeight / highest).toFixed(1)}`;
        });
        const colour = `hsl(${index * 360 / series.length} 70% 40%)`;
        return `<polyline fill="none" stroke="${colour}" points="${points.join(" ")}"><title>${team}</title></polyline>`
            + `<text x="5" y="${15 * (index + 1)}" fill="${colour}">${team}</text>`;
    });
    return `<p>Requests answered by a target per second, maximum ${highest}</p>`
        + `<svg width="${plotWidth}" height="${plotHeight}" style="border:1px solid #ccc">${lines.join("")}</svg>`;
}
