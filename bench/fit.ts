/** Linear regression for benchmark results. */

export interface LineFit {
    intercept: number;
    slope: number;
    /** Largest absolute residual, as a fraction of the largest absolute `y`. */
    maxRelativeResidual: number;
}

/** Fits a line to the points by least squares. */
export function fitLine(points: readonly { x: number; y: number }[]): LineFit {
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const largestY = Math.max(...points.map(point => Math.abs(point.y)), Number.MIN_VALUE);
    const residuals = points.map(point => Math.abs(point.y - intercept - slope * point.x));
    return { intercept, slope, maxRelativeResidual: Math.max(...residuals) / largestY };
}

/** Formats a fit as one line of text. */
export function describeFit(name: string, unit: string, fit: LineFit): string {
    return `${name}: ${fit.intercept.toPrecision(3)} + ${fit.slope.toPrecision(3)} ${unit}, residual ${
        (fit.maxRelativeResidual * 100).toFixed(0)
    }%`;
}
