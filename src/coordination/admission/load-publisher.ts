/**
 * Decides which changes of a worker's load are published at once. Smaller
 * changes wait for the next regular message, to save traffic.
 */
import type {WorkerLoad} from '../../protocol/worker-load.js';

/** Change of utilization that is published at once. */
const MIN_UTILIZATION_CHANGE = 0.45;
/** Change of the natural logarithm of the pace that is published at once. */
const MIN_LOG_PACE_CHANGE = 0.25;

/** Publishes significant changes of one worker's load. */
export class LoadPublisher {
  /** Called when the load has changed enough to be published at once. */
  handleChange: () => void = () => {};
  private published: WorkerLoad | undefined;

  /** Publishes the load if it has changed enough since the last time. */
  publish(load: WorkerLoad): void {
    const {published} = this;
    const utilization = (load.inFlight + load.queued) / load.limit;
    const publishedUtilization = published
      ? (published.inFlight + published.queued) / published.limit
      : Infinity;
    const paceChange = load.pace / (published?.pace ?? Infinity);
    const isSignificant =
      load.state !== published?.state ||
      Math.abs(utilization - publishedUtilization) >= MIN_UTILIZATION_CHANGE ||
      Math.abs(Math.log(paceChange)) >= MIN_LOG_PACE_CHANGE;
    if (!isSignificant) return;
    this.published = load;
    this.handleChange();
  }
}
