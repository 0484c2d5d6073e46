/**
 * Suspected members and when they are to be held dead. The time is counted in
 * probe periods of this node: while the process is paused no period passes, so
 * that on resuming it gives the suspected ones their full time to refute.
 */

/** Members for which the suspicion time is the one in the settings. */
const BASE_MEMBER_COUNT = 10;

/** Number of periods from suspicion to being held dead. */
export function computeSuspicionPeriods(
  suspicionTimeMs: number,
  periodMs: number,
  memberCount: number,
): number {
  const growth = Math.log(memberCount) / Math.log(BASE_MEMBER_COUNT);
  const timeMs = suspicionTimeMs * Math.max(1, growth);
  return Math.max(1, Math.ceil(timeMs / periodMs));
}

/** The suspected members of one node. */
export class Suspicions {
  private readonly endPeriods = new Map<string, number>();

  /** Node ids under suspicion. */
  list(): string[] {
    return [...this.endPeriods.keys()];
  }

  /** Begins a suspicion, unless one runs already. */
  start(nodeId: string, endPeriod: number): void {
    if (!this.endPeriods.has(nodeId)) this.endPeriods.set(nodeId, endPeriod);
  }

  /** Ends a suspicion. */
  clear(nodeId: string): void {
    this.endPeriods.delete(nodeId);
  }

  /** Takes the node ids whose time is over. */
  takeExpired(period: number): string[] {
    const expired = this.list().filter(
      nodeId => this.endPeriods.get(nodeId)! <= period,
    );
    for (const nodeId of expired) this.clear(nodeId);
    return expired;
  }
}
