/**
 * Suspected members and their suspicion timeouts. Timeouts are counted in probe
 * periods of this node. No period passes while the process is paused, so that
 * suspected members still have their full time to refute when it resumes.
 */

/** Cluster size up to which the configured suspicion time applies unscaled. */
const BASE_MEMBER_COUNT = 10;

/**
 * Returns the number of periods after which a suspected member is declared
 * dead. It grows with the logarithm of the cluster size.
 */
export function computeSuspicionPeriods(
  suspicionTimeMs: number,
  periodMs: number,
  memberCount: number,
): number {
  const growth = Math.log(memberCount) / Math.log(BASE_MEMBER_COUNT);
  const timeMs = suspicionTimeMs * Math.max(1, growth);
  return Math.max(1, Math.ceil(timeMs / periodMs));
}

/** Members that one node suspects, with the period in which each expires. */
export class Suspicions {
  private readonly endPeriods = new Map<string, number>();

  /** Returns the ids of the suspected nodes. */
  list(): string[] {
    return [...this.endPeriods.keys()];
  }

  /** Starts a suspicion; one that is already running keeps its end. */
  start(nodeId: string, endPeriod: number): void {
    if (!this.endPeriods.has(nodeId)) this.endPeriods.set(nodeId, endPeriod);
  }

  /** Clears a suspicion, if any. */
  clear(nodeId: string): void {
    this.endPeriods.delete(nodeId);
  }

  /** Removes and returns the ids of the nodes whose timeout has ended. */
  takeExpired(period: number): string[] {
    const expired = this.list().filter(
      nodeId => this.endPeriods.get(nodeId)! <= period,
    );
    for (const nodeId of expired) this.clear(nodeId);
    return expired;
  }
}
