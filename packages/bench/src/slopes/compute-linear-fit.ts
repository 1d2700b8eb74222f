import type { LinearFit } from "./linear-fit.js";

/**
 * Fits a straight line through measured costs by least squares.
 * @param name - name of the cost
 * @param unit - its unit
 * @param per - what the sizes count
 * @param sizes - the sizes
 * @param costs - cost at each size
 * @returns the slope
 */
export function computeLinearFit(
    name: string,
    unit: string,
    per: string,
    sizes: readonly number[],
    costs: readonly number[],
): LinearFit {
    const meanSize = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
    const meanCost = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
    let covariance = 0;
    let variance = 0;
    sizes.forEach((size, position) => {
        covariance += (size - meanSize) * ((costs[position] ?? 0) - meanCost);
        variance += (size - meanSize) ** 2;
    });
    const slope = variance === 0 ? 0 : covariance / variance;
    return { name, costUnit: unit, sizeUnit: per, sizes, costs, slope, intercept: meanCost - slope * meanSize };
}
