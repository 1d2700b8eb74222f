import type { LinearFit } from "./linear-fit.js";

/**
 * Fits a straight line to measured costs by least squares.
 * @param name - name of the cost
 * @param costUnit - unit of the cost
 * @param sizeUnit - what the sizes count
 * @param sizes - the sizes
 * @param costs - cost at each size
 * @returns the fit; its slope is 0 when all sizes are equal
 */
export function computeLinearFit(
    name: string,
    costUnit: string,
    sizeUnit: string,
    sizes: readonly number[],
    costs: readonly number[],
): LinearFit {
    const meanSize = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
    const meanCost = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
    let covariance = 0;
    let variance = 0;
    sizes.forEach((size, index) => {
        covariance += (size - meanSize) * ((costs[index] ?? 0) - meanCost);
        variance += (size - meanSize) ** 2;
    });
    const slope = variance === 0 ? 0 : covariance / variance;
    return { name, costUnit, sizeUnit, sizes, costs, slope, intercept: meanCost - slope * meanSize };
}
