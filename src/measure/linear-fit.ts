/**
 * Linear least-squares fit, used to extrapolate a cost from the measured node
 * counts to larger deployments.
 */

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The line `y = intercept + slope * x`. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Largest vertical distance of a point from the line. */
  readonly maxResidual: number;
}

/** Computes the least-squares line through at least two points. */
export function computeLine(points: readonly Point[]): Line {
  const meanX = computeMean(points.map(({x}) => x));
  const meanY = computeMean(points.map(({y}) => y));
  const covariance = computeMean(
    points.map(({x, y}) => (x - meanX) * (y - meanY)),
  );
  const variance = computeMean(points.map(({x}) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({x, y}) => Math.abs(y - intercept - slope * x));
  return {intercept, slope, maxResidual: Math.max(...residuals)};
}

/** Computes the arithmetic mean. */
export function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
