/**
 * The longest time that recent requests of a route took, from their arrival to
 * the end of their answer, waits and retries included.
 */

/** Requests of a route that are remembered. */
const REMEMBERED = 64;
/** Requests of a route before its longest time says anything. */
const MIN_SAMPLES = 8;
/** Routes remembered; the one that was seen first is evicted. */
const MAX_ROUTES = 256;

/** Times of one route in milliseconds, the newest at `next - 1`. */
interface RecentTimes {
  readonly timesMs: number[];
  next: number;
}

/** Recent times of the requests of one entry, by route. */
export class RouteTimes {
  private readonly byRoute = new Map<string, RecentTimes>();

  /** Records the time of a request that was answered, or may have run. */
  record(route: string, timeMs: number): void {
    const recent = this.findRecent(route);
    recent.timesMs[recent.next] = timeMs;
    recent.next = (recent.next + 1) % REMEMBERED;
  }

  /** Returns the longest time in milliseconds; undefined with few samples. */
  findLongest(route: string): number | undefined {
    const timesMs = this.byRoute.get(route)?.timesMs ?? [];
    return timesMs.length < MIN_SAMPLES ? undefined : Math.max(...timesMs);
  }

  private findRecent(route: string): RecentTimes {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_ROUTES) {
      const [first] = this.byRoute.keys();
      this.byRoute.delete(first!);
    }
    const recent = {timesMs: [], next: 0};
    this.byRoute.set(route, recent);
    return recent;
  }
}
