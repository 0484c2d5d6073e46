/**
 * Quantile of recent durations. Hedging needs the quantile of now, not of the
 * whole past, so two windows take turns and the older one is dropped.
 */
import type {Histogram} from 'hdr-histogram-js';
import {build as createHistogram} from 'hdr-histogram-js';

const WINDOW_MS = 10_000;
const MIN_SAMPLES = 50;
const HIGHEST_US = 600_000_000;
const US_PER_MS = 1000;

/** Durations of the last one to two windows. */
export class QuantileWindow {
  private current = createWindow();
  private previous = createWindow();
  private startedAt = performance.now();

  /** Adds a duration in milliseconds. */
  record(durationMs: number): void {
    this.refresh();
    const us = Math.max(1, Math.round(durationMs * US_PER_MS));
    this.current.recordValue(Math.min(us, HIGHEST_US));
  }

  /** The quantile in milliseconds; undefined while samples are few. */
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
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 2,
  });
}
