/**
 * Latency histograms. Values are kept in microseconds with three significant
 * digits, so that tail quantiles are accurate and recording a value allocates
 * nothing.
 */
import type {Histogram} from 'hdr-histogram-js';
import {build as buildHistogram} from 'hdr-histogram-js';

const US_PER_MS = 1000;
const MAX_LATENCY_US = 120_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Quantiles of a histogram in milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Histogram of latencies. */
export class LatencyHistogram {
  private readonly histogram: Histogram = buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /** Records a latency; values above the maximum count as the maximum. */
  record(latencyMs: number): void {
    const us = Math.round(Math.max(0, latencyMs) * US_PER_MS);
    this.histogram.recordValue(Math.min(us, MAX_LATENCY_US));
  }

  /** Adds all values of another histogram. */
  merge(other: LatencyHistogram): void {
    this.histogram.add(other.histogram);
  }

  /**
   * Returns the quantiles of the recorded values; all zero when there are none.
   */
  report(): Quantiles {
    const {histogram} = this;
    const find = (percentile: number): number =>
      histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / US_PER_MS;
    return {
      count: histogram.totalCount,
      meanMs: histogram.totalCount === 0 ? 0 : toMs(histogram.mean),
      p50Ms: find(50),
      p90Ms: find(90),
      p99Ms: find(99),
      p999Ms: find(99.9),
      maxMs: find(100),
    };
  }
}

function toMs(us: number): number {
  return Math.round(us) / US_PER_MS;
}
