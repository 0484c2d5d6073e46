/**
 * Quantiles of recent durations. Hedging needs the current quantile rather
 * than that of all durations since the start, so two histograms alternate and
 * the older one is reset.
 */
import type {Histogram} from 'hdr-histogram-js';
import {build as createHistogram} from 'hdr-histogram-js';

const WINDOW_MS = 10_000;
const MIN_SAMPLES = 50;
const MAX_DURATION_US = 600_000_000;
const US_PER_MS = 1000;

/** Durations recorded in the current and the previous window. */
export class QuantileWindow {
  private current = createWindow();
  private previous = createWindow();
  private startedAt = performance.now();

  /** Adds a duration in milliseconds. */
  record(durationMs: number): void {
    this.refresh();
    const us = Math.max(1, Math.round(durationMs * US_PER_MS));
    this.current.recordValue(Math.min(us, MAX_DURATION_US));
  }

  /**
   * Returns a quantile in milliseconds; undefined if there are too few samples.
   *
   * @param quantile between 0 and 1.
   */
  compute(quantile: number): number | undefined {
    this.refresh();
    const source =
      this.current.totalCount >= MIN_SAMPLES ? this.current : this.previous;
    if (source.totalCount < MIN_SAMPLES) return undefined;
    return source.getValueAtPercentile(quantile * 100) / US_PER_MS;
  }

  private refresh(): void {
    const now = performance.now();
    if (now - this.startedAt < WINDOW_MS) return;
    this.startedAt = now;
    const reused = this.previous;
    reused.reset();
    this.previous = this.current;
    this.current = reused;
  }
}

function createWindow(): Histogram {
  return createHistogram({
    bitBucketSize: 32,
    highestTrackableValue: MAX_DURATION_US,
    numberOfSignificantValueDigits: 2,
  });
}
